"""The rows of the table at the head of docs/CAPACITY.md."""

import math
from typing import NamedTuple

from lab import (
    control_estimates,
    data_estimates,
    estimates,
    group_estimates,
    spread_estimates,
)
from lab.arithmetic import Figure, Slopes, pick, show_number


class Row(NamedTuple):
    """A line of the summary; `met` says by how much a budget is missed."""

    role: str
    mechanism: str
    slope: str
    at_size: str
    budget: str
    met: str
    carrier: str


def show_result(figure: Figure) -> str:
    """Return the result with its unit."""
    return f"{show_number(figure.value)} {figure.unit}".strip()


def judge(*figures: Figure) -> str:
    """Return whether all are within their limits, else how far the worst is not."""
    ratios = [
        figure.value / figure.limit for figure in figures if figure.limit is not None
    ]
    worst = max(ratios)
    return "yes" if worst <= 1 else f"**no**, {show_number(worst)} times too much"


def list_rows(slopes: Slopes) -> list[Row]:
    """Return all rows."""
    return [
        *_list_data_rows(slopes),
        *_list_group_rows(slopes),
        *_list_spread_rows(slopes),
        *_list_platform_rows(slopes),
        _make_control_row(slopes),
    ]


def _list_data_rows(slopes: Slopes) -> list[Row]:
    connections = data_estimates.work_out_connections(slopes)
    memory = pick(connections, "memory")
    idle = pick(connections, "processor, all idle")
    drain = pick(connections, "draining 9,700 at a planned stop")
    statements = data_estimates.work_out_statements(slopes)
    reads = pick(statements, "all reads")
    writes = pick(statements, "all writes")
    processes = pick(statements, "processes on a VM, all reads")
    routing = slopes.last("routing.request_us")
    slots = data_estimates.work_out_slots(slopes)
    return [
        Row(
            "caller connection",
            "one task for each",
            f"{show_number(slopes.slope('idle.memory_kb'))} KiB, "
            f"{show_number(slopes.slope('idle.cpu_ms_per_s') * 1000)} us/s idle",
            f"{show_result(memory)}, {show_result(idle)}; a drain takes "
            f"{show_result(drain)}",
            "none set; a drain ends within 10 s",
            judge(drain),
            "as it is, in several processes for the statements",
        ),
        Row(
            "statement",
            "one process; nearly all are forwarded to the serving daemon",
            f"read {show_result(statements[0])}, write {show_result(statements[1])}, "
            f"routing {show_number(routing)} us",
            f"{show_result(reads)} (reads), {show_result(writes)} (writes)",
            "1 core of a Python process",
            judge(reads, writes),
            f"{math.ceil(processes.value)} processes on a VM behind one member",
        ),
        Row(
            "slots and connection pooling",
            "one queue and pool at the serving daemon",
            f"{show_number(slopes.at('slots.us', 16))} us a slot",
            f"{show_result(slots[0])}, {show_result(slots[2])} links",
            "none set; 20 connections an instance",
            "yes, the time is part of the statement's",
            "as it is",
        ),
    ]


def _list_group_rows(slopes: Slopes) -> list[Row]:
    watching = group_estimates.work_out_watching(slopes)
    cpu = pick(watching, "processor")
    data = pick(watching, "bytes")
    longer = pick(watching, "bytes with polls of 5 s")
    tending = pick(watching, "going over all groups for own ones")
    ranking = pick(watching, "ranking all groups anew after a change")
    promotion = group_estimates.work_out_promotion(slopes)
    shares = group_estimates.work_out_shares(slopes)
    memory = pick(shares, "memory")
    splitting = pick(shares, "splitting all accounts")
    loans = pick(shares, "bytes, a loan for each statement")
    return [
        Row(
            "group watching",
            "status long polls of 150 ms to each instance",
            f"{show_number(slopes.slope('watching.cpu_ms_per_s'))} ms/s, "
            f"{show_number(slopes.slope('watching.messages_per_s'))} polls/s a group",
            f"{show_result(cpu)}, {show_result(data)}",
            "12 ms/s, 5,000 B/s",
            judge(cpu, data),
            f"polls of 5 s on quiet groups ({show_result(longer)}); a keeper that "
            "waits for a change",
        ),
        Row(
            "choice of serving daemons",
            "all groups gone over each 200 ms, ranked anew after each change",
            f"{show_number(slopes.slope('tending.us'))} us a group, "
            f"{show_number(slopes.last('ranking.us'))} us a ranking",
            f"{show_result(tending)} and {show_result(ranking)}",
            "12 ms/s",
            judge(tending, ranking),
            "ranks kept, and changed only where a member joins or leaves",
        ),
        Row(
            "promotion",
            "fence a majority, promote the best log; no platform",
            f"{show_number(slopes.at('promotion.ms', 3))} ms for three instances",
            show_result(promotion[0]),
            "17 s",
            judge(*promotion),
            "as it is",
        ),
        Row(
            "rate shares",
            "an account for each workspace at each daemon; loans between 16 holders",
            f"{show_number(slopes.slope('accounts.memory_kb'))} KiB an account, "
            f"{show_number(slopes.last('splits.us'))} us a split, "
            f"{show_number(slopes.slope('calls.loan_ms'))} ms a loan",
            f"{show_result(memory)}, {show_result(splitting)}, up to "
            f"{show_result(loans)} of loans",
            "128 MiB, 12 ms/s, 5,000 B/s",
            judge(memory, splitting, loans),
            "tokens spent at the serving daemon; accounts at the holders alone",
        ),
    ]


def _list_spread_rows(slopes: Slopes) -> list[Row]:
    config = spread_estimates.work_out_configuration(slopes)
    bundle = pick(config, "the bundle")
    received = pick(config, "bytes received")
    accept = pick(config, "processor to accept")
    held = pick(config, "memory")
    parts = pick(config, "in parts: bytes of the changed part")
    members = spread_estimates.work_out_membership(slopes)
    data, cpu = pick(members, "bytes"), pick(members, "processor")
    beats = pick(members, "a graph: bytes of beats, one a second")
    roster = spread_estimates.work_out_roster(slopes)
    whole = pick(roster, "bytes received")
    return [
        Row(
            "configuration spread",
            "one value, fetched whole from a peer",
            f"{show_number(slopes.slope('bundle.bytes'))} B, "
            f"{show_number(slopes.slope('bundle.accept_ms'))} ms, "
            f"{show_number(slopes.slope('bundle.memory_kb'))} KiB a group",
            f"{show_result(bundle)}; {show_result(received)}, "
            f"{show_result(accept)}, {show_result(held)}",
            "1,000 KiB; 5,000 B/s, 12 ms/s, 128 MiB",
            judge(bundle, received, accept, held),
            f"parts under a digest tree ({show_result(parts)})",
        ),
        Row(
            "membership",
            "heartbeats five times a second to all, each with all views",
            f"{show_number(slopes.slope('beats.bytes'))} B and "
            f"{show_number(slopes.slope('beats.make_us'))} + "
            f"{show_number(slopes.slope('beats.take_us'))} us a view",
            f"{show_result(data)}, {show_result(cpu)}",
            "5,000 B/s, 12 ms/s",
            judge(data, cpu),
            "beats to about 6 neighbours of a random graph, changes flooded "
            f"({show_result(beats)})",
        ),
        Row(
            "roster",
            "one value, fetched whole; parts grow once all members applied it",
            f"{show_number(slopes.slope('roster.bytes'))} B a member",
            f"{show_result(roster[0])}; {show_result(whole)}",
            "1 MiB; 5,000 B/s",
            judge(roster[0], whole),
            "changes alone, confirmed by the 16 holders concerned",
        ),
    ]


def _list_platform_rows(slopes: Slopes) -> list[Row]:
    platform = spread_estimates.work_out_platform(slopes)
    calls, writes = pick(platform, "calls"), pick(platform, "writes")
    turns = pick(platform, "asking whose turn it is to watch or to clean")
    base = estimates.work_out_base(slopes)[0]
    return [
        Row(
            "platform calls",
            "three daemons watch for all; each asks whose turn it is",
            f"{show_number(slopes.slope('fleet.platform_calls_per_s'))} /s a daemon",
            f"{show_result(calls)} calls, {show_result(writes)} writes; "
            f"{show_result(turns)}",
            "2,000 reads/s, 300 writes/s; 12 ms/s",
            judge(calls, writes, turns),
            "calls as they are, turns kept as ranks are; joins in batches after a "
            "lost domain",
        ),
        Row(
            "the process itself",
            "Python with its libraries",
            "-",
            show_result(base),
            "128 MiB for control",
            judge(base),
            "as it is",
        ),
    ]


def _make_control_row(slopes: Slopes) -> Row:
    data, cpu, memory = control_estimates.work_out_control(slopes)
    return Row(
        "control in all",
        "with the mechanisms of the last column",
        "-",
        f"{show_result(data)}, {show_result(cpu)}, {show_result(memory)} "
        "without the configuration",
        "5,000 B/s, 12 ms/s, 128 MiB",
        judge(data, cpu, memory),
        "not built",
    )
