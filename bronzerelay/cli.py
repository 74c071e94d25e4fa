"""The operators' command line."""

from typing import Any

import click
from click.shell_completion import get_completion_class

from bronzerelay.bundlecommands import bundle
from bronzerelay.codes import CODES, Code, refuse
from bronzerelay.filecommands import endpoint, workspace
from bronzerelay.fleet import Counters, DaemonState, find_unasked
from bronzerelay.keycommands import key
from bronzerelay.logcommands import changes, story, summary
from bronzerelay.options import FLEET_OPTIONS, Session, with_options, write_examples
from bronzerelay.printing import (
    DONE,
    FAILED,
    describe_state,
    list_state_lines,
    show,
    show_refusal,
)

PROGRAM = "bronzerelay"
COMPLETE_VARIABLE = "_BRONZERELAY_COMPLETE"
SHELLS = ("bash", "zsh", "fish")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name=PROGRAM)
def main() -> None:
    """Operate the database proxy bronzerelay with signed configuration bundles.

    Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 another operator's version
    came first, 4 the platform is unavailable, 5 not in force everywhere in time.
    """


main.add_command(bundle)
main.add_command(workspace)
main.add_command(endpoint)
main.add_command(key)
main.add_command(story)
main.add_command(changes)
main.add_command(summary)


@main.command(
    epilog=write_examples(
        "bronzerelay status --daemons 10.0.0.1:8101,10.0.0.2:8101",
        "bronzerelay status --output json",
    )
)
@with_options(*FLEET_OPTIONS)
def status(session: Session) -> int:
    """Show each daemon's version and its view of the database groups.

    Exits with 1 if a daemon gives no answer.
    """
    states = session.open_fleet().read_states()
    unasked = find_unasked(states)
    data = {
        "daemons": [describe_state(state) for state in states],
        "unasked": list(unasked),
    }
    lines = [*list_state_lines(states), *_list_group_lines(states)]
    if unasked:
        lines.append(f"alive but not in --daemons: {', '.join(unasked)}")
    show(session.output, data, lines)
    silent = any(state.status is None for state in states)
    return FAILED if silent else DONE


def _list_group_lines(states: list[DaemonState]) -> list[str]:
    lines = []
    for state in states:
        groups: dict[str, Any] = (state.raw_status or {}).get("groups", {})
        for name, group in sorted(groups.items()):
            lines.append(
                f"  group {name} at {state.name}: primary "
                f"{group.get('primary') or 'none'}, term {group.get('term')}"
            )
            lines += [
                f"    {endpoint}: {_format_endpoint(endpoint_status)}"
                for endpoint, endpoint_status in sorted(
                    group.get("endpoints", {}).items()
                )
            ]
    return lines


def _format_endpoint(endpoint_status: dict[str, Any]) -> str:
    reachable = "reachable" if endpoint_status.get("reachable") else "not reachable"
    return (
        f"{endpoint_status.get('role')}, term {endpoint_status.get('term')}, "
        f"position {endpoint_status.get('position')}, {reachable}"
    )


@main.command(epilog=write_examples("bronzerelay counters --output json"))
@with_options(*FLEET_OPTIONS)
def counters(session: Session) -> int:
    """Sum the daemons' counters of refusals, retries and events.

    Exits with 1 if a daemon gives no answer.
    """
    totals = session.open_fleet().read_counters()
    lines = [
        *_list_counter_lines("refusals", totals.refusals),
        *_list_counter_lines("retries", totals.retries),
        *_list_counter_lines("events", totals.events),
        *(f"no answer from {address}" for address in totals.silent),
    ]
    show(session.output, Counters._asdict(totals), lines)
    return FAILED if totals.silent else DONE


def _list_counter_lines(title: str, table: dict[str, float]) -> list[str]:
    rows = [f"  {name}: {value:g}" for name, value in sorted(table.items())]
    return [f"{title}:", *(rows or ["  none"])]


@main.command(epilog=write_examples("bronzerelay explain 301"))
@click.argument("code")
@with_options()
def explain(session: Session, code: str) -> int:
    """Explain a result CODE, given as its number or name."""
    result_code = _find_code(code)
    if result_code is None:
        names = ", ".join(
            f"{int(known_code)} {known_code.name.lower()}" for known_code in Code
        )
        refused = refuse(Code.NOT_FOUND, f"no code {code!r}; there are {names}")
        return show_refusal(session.output, refused.error)
    entry = CODES[result_code]
    data = {
        "code": int(result_code),
        "name": result_code.name.lower(),
        **entry._asdict(),
    }
    lines = [
        f"{int(result_code)} {result_code.name.lower()}: "
        f"HTTP status {entry.status}, {entry.ran}",
        entry.advice,
    ]
    show(session.output, data, lines)
    return DONE


def _find_code(text: str) -> Code | None:
    for code in Code:
        if text in (str(int(code)), code.name.lower(), code.name):
            return code
    return None


@main.command(
    epilog=write_examples(
        'eval "$(bronzerelay completion bash)"',
        "bronzerelay completion fish > ~/.config/fish/completions/bronzerelay.fish",
    )
)
@click.argument("shell", type=click.Choice(SHELLS))
@with_options()
def completion(session: Session, shell: str) -> int:
    """Print the completion script for a SHELL."""
    completer = get_completion_class(shell)(main, {}, PROGRAM, COMPLETE_VARIABLE)
    # source() isn't used: for bash it would run a subprocess to check bash's version,
    # and this project's processes start no others.
    script = completer.source_template % completer.source_vars()
    show(session.output, {"shell": shell, "script": script}, script.split("\n"))
    return DONE


if __name__ == "__main__":
    main(prog_name=PROGRAM)
