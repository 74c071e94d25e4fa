"""Measurements of membership, the roster, routing, and the gossip graph."""

from collections import deque

import msgspec
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from bronzerelay.groups import Groups, GroupSettings
from bronzerelay.logs import open_log
from bronzerelay.membership import Membership, MembershipSettings
from bronzerelay.metrics import Metrics
from bronzerelay.peerlink.ttypes import Beat, MemberView
from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Runtime
from bronzerelay.types import Roster
from lab.measure import cpu_us_per_call, held_kb, own_cpu_ms

# Rings of the gossip graph; a member has two neighbours on each.
GRAPH_RINGS = 3
FAILURE_DOMAINS = 21
# The ages in a view, which are usually below a second.
VIEW_AGE_MS = 400
OWN_NAME = "vm-000001"
# Members are not suspected during a measurement.
SUSPECT_MS = 3_600_000


def name_members(count: int) -> list[str]:
    """Return names of the length that they have in a large fleet."""
    return [f"vm-{number:06}" for number in range(1, count + 1)]


def build_roster(count: int) -> Roster:
    """Return a roster of `count` daemons over `FAILURE_DOMAINS` failure domains."""
    members = [
        {
            "name": name,
            "address": f"10.{number // 250}.{number % 250}.7:8201",
            "failure_domain": f"region-{number % 10}-{number % FAILURE_DOMAINS}",
        }
        for number, name in enumerate(name_members(count))
    ]
    return {"epoch": 1, "members": members}


def build_views(count: int) -> list[MemberView]:
    """Return views of `count` members as a heartbeat carries them."""
    return [
        MemberView(
            name=name,
            beat=100_000,
            applied_epoch=1,
            config_version=1,
            heard_age_ms=VIEW_AGE_MS,
            platform_age_ms=VIEW_AGE_MS,
            stopping=False,
        )
        for name in name_members(count)
    ]


def build_membership(runtime: Runtime, count: int) -> Membership:
    """Return a membership that has recently heard from all `count` members."""
    settings = MembershipSettings(OWN_NAME, suspect_ms=SUSPECT_MS)
    membership = Membership(runtime, settings)
    membership.accept_roster(build_roster(count))
    membership.merge_reply(build_views(count), runtime.clock.now_ms())
    return membership


def encode_beat(beat: Beat) -> bytes:
    """Return an encoded heartbeat, without the frame and the name of the call."""
    buffer = TMemoryBuffer()
    beat.write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode_beat(data: bytes) -> Beat:
    """Return the heartbeat in `data`."""
    beat = Beat()
    beat.read(TBinaryProtocolAccelerated(TMemoryBuffer(data)))
    return beat


def measure_routing(size: int) -> dict[str, float]:
    """Return the processor time to admit and route a request with `size` members."""
    runtime = Runtime(task_limit=4, seed=1)
    membership = build_membership(runtime, size)
    groups = Groups(
        runtime,
        GroupSettings(OWN_NAME, 100, 150, 1000),
        membership,
        None,
        Metrics(runtime),
        open_log("group"),
    )

    def route() -> None:
        membership.is_isolated()
        groups.rank_daemons("orders")

    return {
        "request_us": cpu_us_per_call(route),
        "isolated_us": cpu_us_per_call(membership.is_isolated),
        "alive_us": cpu_us_per_call(membership.alive_names),
    }


def measure_beats(size: int) -> dict[str, float]:
    """Return bytes and processor time of a heartbeat that carries `size` views."""
    runtime = Runtime(task_limit=4, seed=1)
    membership = build_membership(runtime, size)

    def make() -> bytes:
        return encode_beat(
            Beat(
                sender=OWN_NAME,
                roster_epoch=1,
                config_version=1,
                views=membership.make_views(),
            )
        )

    data = make()

    def receive() -> None:
        views = decode_beat(data).views
        membership.merge_reply(views, runtime.clock.now_ms())

    return {
        "bytes": len(data),
        "make_us": cpu_us_per_call(make),
        "take_us": cpu_us_per_call(receive),
        "memory_kb": held_kb(lambda: build_membership(runtime, size)),
    }


def measure_roster(size: int) -> dict[str, float]:
    """Return bytes of a roster of `size` members, and the time to accept it."""
    roster = build_roster(size)
    data = msgspec.json.encode(roster)
    decoder = msgspec.json.Decoder(Roster)
    runtime = Runtime(task_limit=4, seed=1)
    membership = Membership(runtime, MembershipSettings(OWN_NAME))

    def accept() -> None:
        received = decoder.decode(data)
        received["epoch"] = membership.roster["epoch"] + 1
        membership.accept_roster(received)

    return {"bytes": len(data), "take_us": cpu_us_per_call(accept)}


def build_graph(size: int) -> list[set[int]]:
    """Return the neighbours of each member on a few rings, each ordered by a hash.

    The rings can be computed from the roster. Each member sends heartbeats to one
    successor on each ring and receives them from one predecessor. With random edges,
    some members would have no peer that notices when they fail.
    """
    names = name_members(size)
    numbers = {name: number for number, name in enumerate(names)}
    neighbors: list[set[int]] = [set() for _ in range(size)]
    for ring in range(GRAPH_RINGS):
        order = [numbers[name] for name in rank(f"ring/{ring}", names)]
        for member, successor in zip(order, order[1:] + order[:1], strict=True):
            neighbors[member].add(successor)
            neighbors[successor].add(member)
    return neighbors


def count_hops(neighbors: list[set[int]], start: int, lost: set[int]) -> list[int]:
    """Return how many hops a flood from `start` takes to each member it reaches."""
    hops = {start: 0}
    queue = deque([start])
    while queue:
        member = queue.popleft()
        for other in neighbors[member] - lost:
            if other not in hops:
                hops[other] = hops[member] + 1
                queue.append(other)
    return list(hops.values())


def measure_graph(size: int) -> dict[str, float]:
    """Return the degree of the gossip graph, and how far floods reach in it.

    `hops` is the longest path of floods from 40 members. `unreached` counts the alive
    members that such a flood misses when a failure domain, every 21st member, is lost.
    """
    random = Runtime(task_limit=1, seed=1).make_random(size)
    neighbors = build_graph(size)
    starts = random.sample(range(size), 40)
    lost = set(range(0, size, FAILURE_DOMAINS))
    hops = [max(count_hops(neighbors, start, set())) for start in starts]
    alive = [start for start in starts if start not in lost]
    reached = [len(count_hops(neighbors, start, lost)) for start in alive]
    return {
        "degree": sum(map(len, neighbors)) / size,
        "hops": max(hops),
        "unreached": size - len(lost) - min(reached),
    }


def measure_first_ranking(size: int) -> dict[str, float]:
    """Return the time to rank `size` members for a name that isn't cached yet."""
    names = name_members(size)
    started_cpu_ms = own_cpu_ms()
    calls = 0
    while own_cpu_ms() - started_cpu_ms < 150:
        rank(f"group/{calls}", names)
        calls += 1
    return {"us": (own_cpu_ms() - started_cpu_ms) * 1000 / calls}
