"""Measures one role at one size in a process of its own, and prints JSON."""

import inspect
import os
import sys

import msgspec

from bronzerelay.runtime import parse_address
from lab import links, members, records, watching

MEASUREMENTS = {
    "routing": members.measure_routing,
    "ranking": members.measure_first_ranking,
    "beats": members.measure_beats,
    "roster": members.measure_roster,
    "graph": members.measure_graph,
    "bundle": records.measure_bundle,
    "accounts": records.measure_accounts,
    "splits": records.measure_splits,
    "spending": records.measure_spending,
    "calls": links.measure_calls,
    "slots": links.measure_slots,
    "idle": links.measure_idle,
    "active": links.measure_active,
    "watching": watching.measure_watching,
    "tending": watching.measure_tending,
    "promotion": watching.measure_promotion,
}


def main() -> None:
    """Print the figures of the role given first at the size given second."""
    measure = MEASUREMENTS[sys.argv[1]]
    size = int(sys.argv[2])
    addresses = [parse_address(text) for text in sys.argv[3:]]
    takes_addresses = "addresses" in inspect.signature(measure).parameters
    figures = measure(size, addresses) if takes_addresses else measure(size)
    print(msgspec.json.encode(figures).decode(), flush=True)
    # A task of a stand-in that is still waiting would keep the process from exiting.
    os._exit(0)


if __name__ == "__main__":
    main()
