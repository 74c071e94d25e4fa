"""The failure domains under evacuation, and how long their instances may be used."""

from bronzerelay.pooler.events import EventLog
from bronzerelay.runtime import Runtime


class Evacuations:
    """The failure domains whose instances are to get nothing more.

    An instance there gets no new reads at once. A primary there, and transactions that
    are open there, may be used for a while longer, so that a switchover can complete.

    The time of the order isn't known here, only that it was given after the time up to
    which all updates of the store had been known. The while counts from that time, so
    it ends early enough however long the news took to arrive. A daemon that finds an
    evacuation when it starts gives no extra time at all.
    """

    def __init__(self, runtime: Runtime, log: EventLog, use_ms: float):
        self._clock = runtime.clock
        self._log = log
        # How long after the order an instance may still be used.
        self._use_ms = use_ms
        # By failure domain, until when its instances may be used. The dictionary is
        # replaced and never modified, so that requests read it without a lock.
        self._use_until_ms: dict[str, float] = {}

    def begin(self, domain: str, ordered_after_ms: float) -> None:
        """Evacuate a failure domain, by an order given at `ordered_after_ms` or later.

        If the failure domain is under evacuation already, the earlier order counts.
        """
        if domain in self._use_until_ms:
            return
        until_ms = ordered_after_ms + self._use_ms
        self._use_until_ms = {**self._use_until_ms, domain: until_ms}
        now_ms = self._clock.now_ms()
        self._log.write(
            "evacuations",
            "A failure domain is being evacuated.",
            domain=domain,
            known_age_ms=round(now_ms - ordered_after_ms),
            use_left_ms=max(0, round(until_ms - now_ms)),
        )

    def end(self, domain: str) -> None:
        """Use a failure domain again."""
        if domain not in self._use_until_ms:
            return
        self._use_until_ms = {
            name: until_ms
            for name, until_ms in self._use_until_ms.items()
            if name != domain
        }
        self._log.write(
            "evacuations", "A failure domain is in use again.", domain=domain
        )

    def list_domains(self) -> list[str]:
        """Return the failure domains under evacuation."""
        return sorted(self._use_until_ms)

    def includes(self, domain: str) -> bool:
        """Return whether a failure domain is under evacuation."""
        return domain in self._use_until_ms

    def has_closed(self, domain: str) -> bool:
        """Return whether nothing at all may be sent to a failure domain any more."""
        until_ms = self._use_until_ms.get(domain)
        return until_ms is not None and self._clock.now_ms() > until_ms
