"""Callers of a front under measurement, with idle or with busy connections."""

import sys

from bronzerelay.runtime import Address, Runtime, parse_address
from lab.links import ACTIVE_MS
from standins.exchange import HttpLink, build_request

TIMEOUT_MS = 10_000
BODY = b'{"group":"orders","statement":{"verb":"get","row":"row-1"}}'
HEADERS = {"Authorization": "Bearer key-of-the-lab"}
PATH = "/v1/workspaces/shop/statements"


def open_links(runtime: Runtime, address: Address, count: int) -> list[HttpLink]:
    """Open connections, and run one statement on each."""
    request = build_request("POST", PATH, HEADERS, BODY)
    links = []
    for _ in range(count):
        link = HttpLink(runtime, runtime.dial(address, TIMEOUT_MS))
        link.exchange(request, TIMEOUT_MS)
        links.append(link)
    return links


def keep_busy(runtime: Runtime, link: HttpLink, end_ms: float) -> int:
    """Run statements until `end_ms`; return how many have run."""
    request = build_request("POST", PATH, HEADERS, BODY)
    count = 0
    while runtime.clock.now_ms() < end_ms:
        link.exchange(request, TIMEOUT_MS)
        count += 1
    return count


def main() -> None:
    """Connect, print `ready`, then run statements if told so on standard input."""
    address = parse_address(sys.argv[1])
    idle, active = int(sys.argv[2]), int(sys.argv[3])
    runtime = Runtime(task_limit=active + 1)
    links = open_links(runtime, address, idle + active)
    print("ready", flush=True)
    if sys.stdin.readline().strip() == "run":
        end_ms = runtime.clock.now_ms() + ACTIVE_MS
        tasks = [runtime.start(keep_busy, runtime, link, end_ms) for link in links]
        print(sum(task.result() for task in tasks), flush=True)
        sys.stdin.readline()
    runtime.close(TIMEOUT_MS)


if __name__ == "__main__":
    main()
