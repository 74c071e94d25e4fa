"""Whether the primary of a service may be used by this daemon now."""

from bronzerelay.codes import NOT_RUN, Code, Refusal
from bronzerelay.pooler.directory import Directory
from bronzerelay.runtime import Runtime

UNDER_CHANGE_RETRY_MS = 300


class LeadGuard:
    """Judges before each use of a primary whether another one may lead by now."""

    def __init__(self, runtime: Runtime, directory: Directory):
        self._runtime = runtime
        self._directory = directory

    def check(self, service: str) -> Refusal | None:
        """Return why the primary of a service may not be used, or None."""
        record = self._directory.leads.get(service)
        if record is not None and not record.settled:
            message = "The primary of the service is being replaced."
            return Refusal(
                Code.PRIMARY_REPLACED, message, NOT_RUN, UNDER_CHANGE_RETRY_MS
            )
        return None
