"""Writes the tables of docs/CAPACITY.md between their markers."""

import re
from collections.abc import Callable
from typing import Any, NamedTuple

from lab import (
    control_estimates,
    data_estimates,
    estimates,
    group_estimates,
    spread_estimates,
)
from lab.arithmetic import Figure, Slopes, show_number
from lab.summary import list_rows

MET = {True: "yes", False: "**no**", None: "-"}


class Section(NamedTuple):
    """A role's tables: the slopes shown, and what is worked out of them."""

    roles: tuple[str, ...]
    work_out: Callable[[Slopes], list[Figure]]


SECTIONS = {
    "connections": Section(("idle",), data_estimates.work_out_connections),
    "statements": Section(
        ("active", "paths", "routing"), data_estimates.work_out_statements
    ),
    "watching": Section(
        ("watching", "tending", "ranking"), group_estimates.work_out_watching
    ),
    "promotion": Section(("promotion",), group_estimates.work_out_promotion),
    "shares": Section(
        ("accounts", "splits", "spending", "calls"), group_estimates.work_out_shares
    ),
    "slots": Section(("slots",), data_estimates.work_out_slots),
    "configuration": Section(("bundle",), spread_estimates.work_out_configuration),
    "membership": Section(("beats", "graph"), spread_estimates.work_out_membership),
    "roster": Section(("roster",), spread_estimates.work_out_roster),
    "control": Section((), control_estimates.work_out_control),
    "platform": Section(("fleet",), spread_estimates.work_out_platform),
}


def format_table(header: list[str], rows: list[list[str]]) -> str:
    """Return a table in Markdown."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def format_slopes(slopes: Slopes, roles: tuple[str, ...]) -> str:
    """Return the table of what was measured for these roles."""
    rows = []
    for name in slopes.names():
        if name.partition(".")[0] not in roles:
            continue
        entry = slopes.entry(name)
        points = ", ".join(
            f"{show_number(value)} at {size:,}" for size, value in entry["points"]
        )
        slope = f"{show_number(entry['slope'])} + {show_number(entry['base'])}"
        rows.append(
            [f"`{name}`", entry["size"], points, slope, f"`{entry['command']}`"]
        )
    header = ["figure", "size counts", "measured", "slope + base", "command"]
    return format_table(header, rows)


def format_figures(figures: list[Figure]) -> str:
    """Return the table of what is worked out."""
    rows = []
    for figure in figures:
        limit = "-" if figure.limit is None else show_number(figure.limit)
        result = f"{show_number(figure.value)} {figure.unit}".strip()
        rows.append(
            [figure.what, figure.arithmetic, result, limit, MET[figure.is_met()]]
        )
    header = ["at the letter's size", "arithmetic", "result", "budget", "met"]
    return format_table(header, rows)


def format_summary(slopes: Slopes) -> str:
    """Return the table at the head of the page."""
    header = [
        "role",
        "today's mechanism",
        "measured slope",
        "at the letter's size",
        "budget",
        "met",
        "what would carry it",
    ]
    return format_table(header, [list(row) for row in list_rows(slopes)])


def format_machine(results: dict[str, Any]) -> str:
    """Return a line on what the figures were measured on."""
    machine = results["machine"]
    return (
        f"Measured on {machine['cores']} cores with {machine['memory_gb']} GB, "
        f"Python {machine['python']}."
    )


def build_blocks(results: dict[str, Any]) -> dict[str, str]:
    """Return each table of the page by the name in its marker."""
    slopes = Slopes(results)
    blocks = {
        "machine": format_machine(results),
        "summary": format_summary(slopes),
        "sizes": format_figures(estimates.work_out_sizes()),
    }
    for name, section in SECTIONS.items():
        figures = format_figures(section.work_out(slopes))
        if section.roles:
            figures = f"{format_slopes(slopes, section.roles)}\n\n{figures}"
        blocks[name] = figures
    return blocks


def rewrite_page(text: str, results: dict[str, Any]) -> str:
    """Return the page with each block between its markers written anew.

    Raise ValueError when a block has no markers: its figures would go unseen.
    """
    for name, block in build_blocks(results).items():
        pattern = rf"(<!-- table {name} -->\n).*?(<!-- end {name} -->)"
        text, count = re.subn(
            pattern,
            lambda found, block=block: f"{found[1]}{block}\n{found[2]}",
            text,
            flags=re.DOTALL,
        )
        if count != 1:
            raise ValueError(f"the page has {count} pairs of markers for {name}")
    return text
