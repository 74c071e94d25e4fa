"""The rows of the summary table at the top of docs/CAPACITY.md."""

import math
from typing import NamedTuple

from lab import (
    control_estimates,
    data_estimates,
    estimates,
    group_estimates,
    spread_estimates,
)
from lab.arithmetic import Figure, Slopes, find_figure, format_number


class Row(NamedTuple):
    """A row of the summary; `met` says by how much a budget is missed."""

    role: str
    mechanism: str
    slope: str
    at_size: str
    budget: str
    met: str
    carrier: str


def format_result(figure: Figure) -> str:
    """Return the result with its unit."""
    return f"{format_number(figure.value)} {figure.unit}".strip()


def format_verdict(*figures: Figure) -> str:
    """Return "yes" if all are within their limits, else by how much the worst isn't."""
    ratios = [
        figure.value / figure.limit for figure in figures if figure.limit is not None
    ]
    worst = max(ratios)
    return "yes" if worst <= 1 else f"**no**, {format_number(worst)} times too much"


def list_rows(slopes: Slopes) -> list[Row]:
    """Return all rows of the summary."""
    return [
        *_list_data_rows(slopes),
        *_list_group_rows(slopes),
        *_list_spread_rows(slopes),
        *_list_platform_rows(slopes),
        _make_control_row(slopes),
    ]


def _list_data_rows(slopes: Slopes) -> list[Row]:
    connections = data_estimates.estimate_connections(slopes)
    memory = find_figure(connections, "memory")
    idle = find_figure(connections, "processor, all idle")
    drain = find_figure(connections, "draining 9,700 at a planned stop")
    statements = data_estimates.estimate_statements(slopes)
    reads = find_figure(statements, "all reads")
    writes = find_figure(statements, "all writes")
    processes = find_figure(statements, "processes on a VM, all reads")
    routing = slopes.value_at_largest("routing.request_us")
    slots = data_estimates.estimate_slots(slopes)
    return [
        Row(
            "caller connection",
            "one task for each",
            f"{format_number(slopes.slope('idle.memory_kb'))} KiB, "
            f"{format_number(slopes.slope('idle.cpu_ms_per_s') * 1000)} us/s idle",
            f"{format_result(memory)}, {format_result(idle)}; a drain takes "
            f"{format_result(drain)}",
            "none set; a drain ends within 10 s",
            format_verdict(drain),
            "as it is, in several processes for the statements",
        ),
        Row(
            "statement",
            "one process; nearly all are forwarded to the serving daemon",
            f"read {format_result(statements[0])}, "
            f"write {format_result(statements[1])}, "
            f"routing {format_number(routing)} us",
            f"{format_result(reads)} (reads), {format_result(writes)} (writes)",
            "1 core of a Python process",
            format_verdict(reads, writes),
            f"{math.ceil(processes.value)} processes on a VM behind one member",
        ),
        Row(
            "slots and connection pooling",
            "one queue and pool at the serving daemon",
            f"{format_number(slopes.value_at('slots.us', 16))} us a slot",
            f"{format_result(slots[0])}, {format_result(slots[2])} links",
            "none set; 20 connections an instance",
            "yes, the time is part of the statement's",
            "as it is",
        ),
    ]


def _list_group_rows(slopes: Slopes) -> list[Row]:
    watching = group_estimates.estimate_watching(slopes)
    cpu = find_figure(watching, "processor")
    data = find_figure(watching, "bytes")
    longer = find_figure(watching, "bytes with polls of 5 s")
    tending = find_figure(watching, "going over all groups for own ones")
    ranking = find_figure(watching, "ranking all groups anew after a change")
    promotion = group_estimates.estimate_promotion(slopes)
    shares = group_estimates.estimate_shares(slopes)
    memory = find_figure(shares, "memory")
    splitting = find_figure(shares, "splitting all accounts")
    loans = find_figure(shares, "bytes, a loan for each statement")
    return [
        Row(
            "group watching",
            "status long polls of 150 ms to each instance",
            f"{format_number(slopes.slope('watching.cpu_ms_per_s'))} ms/s, "
            f"{format_number(slopes.slope('watching.messages_per_s'))} polls/s a group",
            f"{format_result(cpu)}, {format_result(data)}",
            "12 ms/s, 5,000 B/s",
            format_verdict(cpu, data),
            f"polls of 5 s on quiet groups ({format_result(longer)}); a keeper that "
            "waits for a change",
        ),
        Row(
            "choice of serving daemons",
            "all groups gone over each 200 ms, ranked anew after each change",
            f"{format_number(slopes.slope('tending.us'))} us a group, "
            f"{format_number(slopes.value_at_largest('ranking.us'))} us a ranking",
            f"{format_result(tending)} and {format_result(ranking)}",
            "12 ms/s",
            format_verdict(tending, ranking),
            "ranks kept, and changed only where a member joins or leaves",
        ),
        Row(
            "promotion",
            "fence a majority, promote the best log; no platform",
            f"{format_number(slopes.value_at('promotion.ms', 3))} ms "
            "for three instances",
            format_result(promotion[0]),
            "17 s",
            format_verdict(*promotion),
            "as it is",
        ),
        Row(
            "rate shares",
            "an account for each workspace at each daemon; loans between 16 holders",
            f"{format_number(slopes.slope('accounts.memory_kb'))} KiB an account, "
            f"{format_number(slopes.value_at_largest('splits.us'))} us a split, "
            f"{format_number(slopes.slope('calls.loan_ms'))} ms a loan",
            f"{format_result(memory)}, {format_result(splitting)}, up to "
            f"{format_result(loans)} of loans",
            "128 MiB, 12 ms/s, 5,000 B/s",
            format_verdict(memory, splitting, loans),
            "tokens spent at the serving daemon; accounts at the holders alone",
        ),
    ]


def _list_spread_rows(slopes: Slopes) -> list[Row]:
    config = spread_estimates.estimate_configuration(slopes)
    bundle = find_figure(config, "the bundle")
    received = find_figure(config, "bytes received")
    accept = find_figure(config, "processor to accept")
    held = find_figure(config, "memory")
    parts = find_figure(config, "in parts: bytes of the changed part")
    members = spread_estimates.estimate_membership(slopes)
    data, cpu = find_figure(members, "bytes"), find_figure(members, "processor")
    beats = find_figure(members, "a graph: bytes of beats, one a second")
    roster = spread_estimates.estimate_roster(slopes)
    whole = find_figure(roster, "bytes received")
    return [
        Row(
            "configuration spread",
            "one value, fetched whole from a peer",
            f"{format_number(slopes.slope('bundle.bytes'))} B, "
            f"{format_number(slopes.slope('bundle.accept_ms'))} ms, "
            f"{format_number(slopes.slope('bundle.memory_kb'))} KiB a group",
            f"{format_result(bundle)}; {format_result(received)}, "
            f"{format_result(accept)}, {format_result(held)}",
            "1,000 KiB; 5,000 B/s, 12 ms/s, 128 MiB",
            format_verdict(bundle, received, accept, held),
            f"parts under a digest tree ({format_result(parts)})",
        ),
        Row(
            "membership",
            "heartbeats five times a second to all, each with all views",
            f"{format_number(slopes.slope('beats.bytes'))} B and "
            f"{format_number(slopes.slope('beats.make_us'))} + "
            f"{format_number(slopes.slope('beats.take_us'))} us a view",
            f"{format_result(data)}, {format_result(cpu)}",
            "5,000 B/s, 12 ms/s",
            format_verdict(data, cpu),
            "beats to about 6 neighbours of a random graph, changes flooded "
            f"({format_result(beats)})",
        ),
        Row(
            "roster",
            "one value, fetched whole; parts grow once all members applied it",
            f"{format_number(slopes.slope('roster.bytes'))} B a member",
            f"{format_result(roster[0])}; {format_result(whole)}",
            "1 MiB; 5,000 B/s",
            format_verdict(roster[0], whole),
            "changes alone, confirmed by the 16 holders concerned",
        ),
    ]


def _list_platform_rows(slopes: Slopes) -> list[Row]:
    platform = spread_estimates.estimate_platform(slopes)
    calls, writes = find_figure(platform, "calls"), find_figure(platform, "writes")
    turns = find_figure(platform, "asking whose turn it is to watch or to clean")
    base = estimates.estimate_base(slopes)[0]
    return [
        Row(
            "platform calls",
            "three daemons watch for all; each asks whose turn it is",
            f"{format_number(slopes.slope('fleet.platform_calls_per_s'))} /s a daemon",
            f"{format_result(calls)} calls, {format_result(writes)} writes; "
            f"{format_result(turns)}",
            "2,000 reads/s, 300 writes/s; 12 ms/s",
            format_verdict(calls, writes, turns),
            "calls as they are, turns kept as ranks are; joins in batches after a "
            "lost domain",
        ),
        Row(
            "the process itself",
            "Python with its libraries",
            "-",
            format_result(base),
            "128 MiB for control",
            format_verdict(base),
            "as it is",
        ),
    ]


def _make_control_row(slopes: Slopes) -> Row:
    data, cpu, memory = control_estimates.estimate_control(slopes)
    return Row(
        "control in all",
        "with the mechanisms of the last column",
        "-",
        f"{format_result(data)}, {format_result(cpu)}, {format_result(memory)} "
        "without the configuration",
        "5,000 B/s, 12 ms/s, 128 MiB",
        format_verdict(data, cpu, memory),
        "not built",
    )
