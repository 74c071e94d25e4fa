"""A single accountant for each workspace: the other way that was weighed for rates."""

from collections.abc import Callable

from expression import Ok, Result

from bronzerelay.buckets import Bucket, Share
from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.rendezvous import rank
from bronzerelay.types import WorkspaceSpec

CALL_TIMEOUT_MS = 150
RETRY_MS = 40


def find_accountant(spec: WorkspaceSpec, alive: list[str]) -> str:
    """Return the daemon that keeps the account of a workspace."""
    return rank(f"accountant/{spec.name}", alive)[0]


class Accountant:
    """All tokens of a workspace at one daemon; each request asks it for one.

    Its bucket starts empty at every change of hands, since the one before may have
    given all of it out. `find_alive` names the daemons that could be it, and `call`
    takes the time of a call there and back, or returns False where none answers.
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
        """Spend a token for a request at `daemon`, or say when to come back."""
        holder = find_accountant(self._spec, self._find_alive())
        if holder != self._holder:
            self._take_over(holder)
        if holder != daemon and not self._call(daemon, holder):
            message = f"{holder} keeps the account and doesn't answer."
            return refuse(Code.PEER_UNREACHABLE, message, RETRY_MS)
        if self._bucket.try_spend(self._now_ms()):
            return Ok(None)
        return refuse(Code.RATE_EXCEEDED, "The rate is used up.", RETRY_MS)

    def _take_over(self, holder: str) -> None:
        now_ms = self._now_ms()
        self._holder = holder
        self._bucket = Bucket(now_ms)
        holding = Share(self._spec.rate, self._spec.burst)
        self._bucket.set_share(holding, now_ms)
        self._bucket.start_empty(now_ms, now_ms)
