"""Which daemons hold parts of a workspace's rate, and how large the parts are."""

from bronzerelay.rendezvous import rank
from bronzerelay.types import WorkspaceSpec

# Parts of a token that stand about at many holders are missing where they are wanted,
# so that each is to hold some ten. But a holder's part is lost while its VM is dead
# and still listed: a small workspace has a few holders, of two tokens at least. And a
# borrower should not have to ask hundreds.
GOOD_HOLDER_BURST = 10.0
LEAST_HOLDER_BURST = 2.0
FEW_HOLDERS = 3
MAX_HOLDERS = 16


def list_holders(
    workspace: WorkspaceSpec, members: list[str], limit: int = MAX_HOLDERS
) -> list[str]:
    """Return which of `members` hold parts of the workspace's rate."""
    few = min(FEW_HOLDERS, int(workspace.burst // LEAST_HOLDER_BURST))
    by_burst = max(1, few, int(workspace.burst // GOOD_HOLDER_BURST))
    count = min(len(members), limit, by_burst)
    return rank(f"share/{workspace.name}", members)[:count]


def list_lenders(holders: list[str], name: str) -> list[str]:
    """Return which of the `holders` daemon `name` may borrow from: all others."""
    return [holder for holder in holders if holder != name]


def work_out_part(holders: list[str], name: str) -> float:
    """Return the fraction of a workspace that daemon `name` holds; it may be 0."""
    return 1 / len(holders) if name in holders else 0.0
