"""Rates enforced by a single accountant per workspace, an alternative to loans."""

from collections.abc import Callable

from expression import Ok, Result

from bronzerelay.buckets import Bucket, Share
from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.rendezvous import rank
from bronzerelay.types import WorkspaceSpec

CALL_TIMEOUT_MS = 150
RETRY_MS = 40


def find_accountant(spec: WorkspaceSpec, alive: list[str]) -> str:
    """Return the daemon that is the accountant of a workspace."""
    return rank(f"accountant/{spec.name}", alive)[0]


class Accountant:
    """The token bucket of a workspace at one daemon, which every request calls.

    The bucket starts empty whenever another daemon becomes the accountant, because the
    former one may have given out all of its tokens. `find_alive` names the daemons that
    can be the accountant. `call` simulates a call to the accountant, and returns False
    if it doesn't answer.
    """

    def __init__(
        self,
        spec: WorkspaceSpec,
        now_ms: Callable[[], float],
        find_alive: Callable[[], list[str]],
        call: Callable[[str, str], bool],
    ):
        self._spec = spec
        self._now_ms = now_ms
        self._find_alive = find_alive
        self._call = call
        self._holder = ""
        self._bucket = Bucket(now_ms())

    def spend(self, daemon: str) -> Result[None, Refusal]:
        """Spend a token for a request at `daemon`, or refuse the request."""
        holder = find_accountant(self._spec, self._find_alive())
        if holder != self._holder:
            self._change_holder(holder)
        if holder != daemon and not self._call(daemon, holder):
            message = f"{holder} keeps the account and doesn't answer."
            return refuse(Code.PEER_UNREACHABLE, message, RETRY_MS)
        if self._bucket.try_spend(self._now_ms()):
            return Ok(None)
        return refuse(Code.RATE_EXCEEDED, "The rate is used up.", RETRY_MS)

    def _change_holder(self, holder: str) -> None:
        now_ms = self._now_ms()
        self._holder = holder
        self._bucket = Bucket(now_ms)
        share = Share(self._spec.rate, self._spec.burst)
        self._bucket.set_share(share, now_ms)
        self._bucket.start_empty(now_ms, now_ms)
