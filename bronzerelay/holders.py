"""Which daemons hold shares of a workspace's rate, and how large the shares are."""

from bronzerelay.rendezvous import rank
from bronzerelay.types import WorkspaceSpec

# With many small shares, fractions of tokens lie unused at many holders, so each holder
# should have a burst of about ten tokens. But a share is lost while the holder's VM is
# dead and still listed, so even a small workspace gets a few holders, if each of them
# has a burst of at least two tokens. The upper limit spares a borrower from asking
# hundreds of holders.
TARGET_HOLDER_BURST = 10.0
MIN_HOLDER_BURST = 2.0
SMALL_WORKSPACE_HOLDERS = 3
MAX_HOLDERS = 16


def list_holders(
    workspace: WorkspaceSpec, members: list[str], limit: int = MAX_HOLDERS
) -> list[str]:
    """Return which of `members` hold shares of the workspace's rate."""
    minimum = min(SMALL_WORKSPACE_HOLDERS, int(workspace.burst // MIN_HOLDER_BURST))
    by_burst = max(1, minimum, int(workspace.burst // TARGET_HOLDER_BURST))
    count = min(len(members), limit, by_burst)
    return rank(f"share/{workspace.name}", members)[:count]


def list_lenders(holders: list[str], name: str) -> list[str]:
    """Return which of the `holders` daemon `name` may borrow from: all but itself."""
    return [holder for holder in holders if holder != name]


def share_fraction(holders: list[str], name: str) -> float:
    """Return the fraction of a workspace's rate that daemon `name` holds, maybe 0."""
    return 1 / len(holders) if name in holders else 0.0
