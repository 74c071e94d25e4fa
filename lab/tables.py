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
from lab.arithmetic import Figure, Slopes, format_number
from lab.summary import list_rows

MET = {True: "yes", False: "**no**", None: "-"}


class Section(NamedTuple):
    """A section of the page: the roles whose slopes it shows, and its estimates."""

    roles: tuple[str, ...]
    estimate: Callable[[Slopes], list[Figure]]


SECTIONS = {
    "connections": Section(("idle",), data_estimates.estimate_connections),
    "statements": Section(
        ("active", "paths", "routing"), data_estimates.estimate_statements
    ),
    "watching": Section(
        ("watching", "tending", "ranking"), group_estimates.estimate_watching
    ),
    "promotion": Section(("promotion",), group_estimates.estimate_promotion),
    "shares": Section(
        ("accounts", "splits", "spending", "calls"), group_estimates.estimate_shares
    ),
    "slots": Section(("slots",), data_estimates.estimate_slots),
    "configuration": Section(("bundle",), spread_estimates.estimate_configuration),
    "membership": Section(("beats", "graph"), spread_estimates.estimate_membership),
    "roster": Section(("roster",), spread_estimates.estimate_roster),
    "control": Section((), control_estimates.estimate_control),
    "platform": Section(("fleet",), spread_estimates.estimate_platform),
}


def format_table(header: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table."""
    all_rows = [header, ["---"] * len(header), *rows]
    return "\n".join(f"| {' | '.join(row)} |" for row in all_rows)


def format_slopes(slopes: Slopes, roles: tuple[str, ...]) -> str:
    """Return the table of the slopes that were measured for these roles."""
    rows = []
    for name in slopes.names():
        if name.partition(".")[0] not in roles:
            continue
        entry = slopes.entry(name)
        points = ", ".join(
            f"{format_number(value)} at {size:,}" for size, value in entry["points"]
        )
        slope = f"{format_number(entry['slope'])} + {format_number(entry['base'])}"
        rows.append(
            [f"`{name}`", entry["size"], points, slope, f"`{entry['command']}`"]
        )
    header = ["figure", "size counts", "measured", "slope + base", "command"]
    return format_table(header, rows)


def format_figures(figures: list[Figure]) -> str:
    """Return the table of computed figures."""
    rows = []
    for figure in figures:
        limit = "-" if figure.limit is None else format_number(figure.limit)
        result = f"{format_number(figure.value)} {figure.unit}".strip()
        rows.append(
            [figure.what, figure.arithmetic, result, limit, MET[figure.is_met()]]
        )
    header = ["at the letter's size", "arithmetic", "result", "budget", "met"]
    return format_table(header, rows)


def format_summary(slopes: Slopes) -> str:
    """Return the summary table at the top of the page."""
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
    """Return a sentence about the machine on which the figures were measured."""
    machine = results["machine"]
    return (
        f"Measured on {machine['cores']} cores with {machine['memory_gb']} GB, "
        f"Python {machine['python']}."
    )


def build_blocks(results: dict[str, Any]) -> dict[str, str]:
    """Return the tables of the page, keyed by the name in their markers."""
    slopes = Slopes(results)
    blocks = {
        "machine": format_machine(results),
        "summary": format_summary(slopes),
        "sizes": format_figures(estimates.estimate_sizes()),
    }
    for name, section in SECTIONS.items():
        figures = format_figures(section.estimate(slopes))
        if section.roles:
            figures = f"{format_slopes(slopes, section.roles)}\n\n{figures}"
        blocks[name] = figures
    return blocks


def rewrite_page(text: str, results: dict[str, Any]) -> str:
    """Return the page with the block between each pair of markers replaced.

    Raise ValueError if a block has no markers, since its figures wouldn't be shown.
    """
    for name, block in build_blocks(results).items():
        pattern = rf"(<!-- table {name} -->\n).*?(<!-- end {name} -->)"
        text, count = re.subn(
            pattern,
            lambda match, block=block: f"{match[1]}{block}\n{match[2]}",
            text,
            flags=re.DOTALL,
        )
        if count != 1:
            raise ValueError(f"the page has {count} pairs of markers for {name}")
    return text
