"""Demo: runs the main job once, on stand-ins, and prints what each step did."""

import sys
from typing import Any, NamedTuple

import click
import msgspec

from bronzerelay.codes import NOT_RUN, RAN, Code
from bronzerelay.runtime import Runtime
from bronzerelay.types import Bundle, Statement
from standins.caller import Caller, CallerSettings, exchange
from standins.cluster import DEMO, Cluster, ClusterError
from standins.exchange import HttpAnswer, LinkPool, build_request
from standins.load import end_on_sigterm
from standins.operators import CommandError, Operator, roll_out, write_bundle_file
from standins.record import Entry

TASKS = 64
CLOSE_TIMEOUT_MS = 2000
RETRY_LIMIT_MS = 10_000
MIN_RETRY_PAUSE_MS = 20
TIMEOUT_MS = 5000
# Larger than the default limit of a daemon for request bodies.
OVERSIZED_BYTES = 2 * 1024 * 1024
ROW = "school-12/lunches"
GET = Statement(verb="get", row=ROW)


class DemoError(Exception):
    """A step failed; the message says which one and how."""


class BadRequest(NamedTuple):
    """A request that must be refused, and the code of the expected refusal."""

    description: str
    path: str
    key: str
    body: bytes
    code: Code


def report(text: str) -> None:
    """Print text and flush it, so that it appears at once in a file too."""
    click.echo(text)
    sys.stdout.flush()


def require(condition: bool, message: str) -> None:
    """Raise DemoError with the message unless the condition holds."""
    if not condition:
        raise DemoError(message)


def put_first_bundle(cluster: Cluster) -> Operator:
    """Put the first bundle in force through the command line; return its author."""
    ana, ben = Operator(cluster, "ana"), Operator(cluster, "ben")
    operators = [ana.entry, ben.entry]
    bundle = Bundle(**cluster.build_bundle(version=1), operators=operators)
    path = write_bundle_file(cluster, bundle)
    ana.run("bundle", "check", path)
    roll_out(ana, ben, path)
    cluster.wait_ready(bundle["version"])
    workspace = cluster.layout.workspaces[0]
    report(
        "With the command line ana checked and proposed bundle 1, ben signed it and "
        f"ana rolled it out: workspace {workspace.name} with one key, "
        f"{workspace.rate:g} requests a second and a burst of {workspace.burst:g}."
    )
    report(f"{len(cluster.daemon_names)} daemons are ready and have bundle 1.")
    return ana


def withdraw_key(
    cluster: Cluster, operator: Operator, caller: Caller, group: str
) -> None:
    """Withdraw the caller's key, and check that every daemon refuses it."""
    workspace = caller.settings.workspace
    key_id = cluster.build_bundle()["workspaces"][0]["keys"][0]["id"]
    operator.run("key", "withdraw", workspace, key_id)
    for daemon in cluster.daemon_names:
        entry = caller.run(group, GET, daemon)
        refused = entry.code == Code.KEY_REJECTED and entry.ran == NOT_RUN
        require(refused, f"{daemon} answered {entry.code} to a withdrawn key")
    report(
        f"{operator.name} withdrew the key; all daemons refuse it on open connections."
    )


def run_with_retries(
    caller: Caller, group: str, statement: Statement, daemon: str = "", **fields: Any
) -> Entry:
    """Run a statement, retrying it after each refusal's delay.

    Raise DemoError if it hasn't run after RETRY_LIMIT_MS.
    """
    clock = caller.runtime.clock
    start_ms = clock.now_ms()
    while True:
        entry = caller.run(group, statement, daemon, **fields)
        if entry.ran == RAN:
            return entry
        waited_ms = clock.now_ms() - start_ms
        last = f"the last answer was {entry.code}, {entry.ran}: {entry.message}"
        message = f"{statement} didn't run in {waited_ms:.0f} ms; {last}"
        require(waited_ms < RETRY_LIMIT_MS, message)
        clock.sleep_ms(max(MIN_RETRY_PAUSE_MS, entry.retry_after_ms))


def append(value: str) -> Statement:
    """Return the statement that adds a value to the demo's row."""
    return Statement(verb="append", row=ROW, value=value)


def write_and_read(caller: Caller, group: str, daemons: list[str]) -> None:
    """Write through one daemon and read it back through another."""
    first, second = daemons[:2]
    written = run_with_retries(
        caller, group, append("no gluten"), first, idempotency_key="demo-1"
    )
    report(f"Wrote 'no gluten' to {ROW} through {first}; {written.served_by} ran it.")
    read = run_with_retries(caller, group, GET, second)
    require(read.value == ["no gluten"], f"the read gave {read.value}")
    require(read.session_before != "", "the write's answer had no session token")
    report(
        f"Read {read.value} through {second} with the session token from the write; "
        f"{read.served_by} ({read.role}) answered."
    )


def list_bad_requests(caller: Caller, group: str) -> list[BadRequest]:
    """Return one request for each mistake that a caller is likely to make."""
    path = f"/v1/workspaces/{caller.settings.workspace}/statements"
    key = caller.settings.key
    body = msgspec.json.encode({"group": group, "statement": GET})
    large = {"verb": "put", "row": ROW, "value": "x" * OVERSIZED_BYTES}
    oversized = msgspec.json.encode({"group": group, "statement": large})
    elsewhere = "/v1/workspaces/nobody/statements"
    return [
        BadRequest("A wrong key", path, "wrong-key", body, Code.KEY_REJECTED),
        BadRequest(
            "An unknown workspace", elsewhere, key, body, Code.WORKSPACE_UNKNOWN
        ),
        BadRequest("Malformed JSON", path, key, b'{"group": ', Code.MALFORMED_JSON),
        BadRequest("An oversized body", path, key, oversized, Code.BODY_TOO_LARGE),
        BadRequest("An unknown path", "/v2/nothing", key, body, Code.UNKNOWN_PATH),
    ]


def show_refusals(caller: Caller, links: LinkPool, group: str, daemon: str) -> None:
    """Send requests that must be refused, and print the refusals."""
    for bad in list_bad_requests(caller, group):
        headers = {"Authorization": f"Bearer {bad.key}"}
        data = build_request("POST", bad.path, headers, bad.body)
        outcome = exchange(links, daemon, data, TIMEOUT_MS)
        require(
            outcome.answer is not None, f"{bad.description}: no answer, {outcome.error}"
        )
        show_refusal(bad, outcome.answer)


def show_refusal(bad: BadRequest, answer: HttpAnswer) -> None:
    """Check one refusal and print it."""
    body = msgspec.json.decode(answer.body)
    expected = f"{bad.description} must be refused with {int(bad.code)}, {NOT_RUN}"
    good = body.get("code") == bad.code and body.get("ran") == NOT_RUN
    require(good, f"{expected}; it was answered {answer.status} {body}")
    require(bool(body.get("advice")), f"{bad.description}: the refusal has no advice")
    report(
        f"{bad.description}: refused with {body['code']} {body['name']} (HTTP "
        f"{answer.status}, {body['ran']}). {body['advice']}"
    )


def show_failover(cluster: Cluster, caller: Caller, group: str) -> None:
    """Kill the primary of a group, and retry a write until the group runs it."""
    clock = cluster.runtime.clock
    primary = cluster.find_primary(group)
    cluster.kill(primary)
    start_ms = clock.now_ms()
    report(f"Killed {primary}, the primary of {group}.")
    sent = len(caller.record)
    entry = run_with_retries(caller, group, append("no nuts"), idempotency_key="demo-2")
    refusals = len(caller.record) - sent - 1
    gap_ms = clock.now_ms() - start_ms
    report(
        f"A write ran {gap_ms:.0f} ms later at {entry.served_by}. Before that, it was "
        f"refused {refusals} times, each time with a retry delay."
    )
    read = run_with_retries(caller, group, GET)
    require(read.value == ["no gluten", "no nuts"], f"the row holds {read.value}")
    report(f"The row holds {read.value}: nothing lost, nothing doubled.")


def stop_daemon(cluster: Cluster, name: str) -> None:
    """Stop a daemon with SIGTERM, and check its exit code."""
    code = cluster.stop(name)
    require(code == 0, f"{name} ended with {code}:\n{cluster.read_log(name)}")
    report(f"Asked {name} to stop (SIGTERM): it finished its work and ended with 0.")


def run_steps(cluster: Cluster) -> None:
    """Run all steps; raise DemoError or ClusterError at the first that fails."""
    groups, daemons = cluster.groups, cluster.daemon_names
    report(
        f"Started the platform, {len(groups)} groups of {DEMO.instances} "
        f"endpoints and {len(daemons)} daemons, each a process on loopback."
    )
    operator = put_first_bundle(cluster)
    workspace = DEMO.workspaces[0].name
    settings = CallerSettings("demo", workspace, cluster.keys[workspace])
    links = LinkPool(cluster.runtime, cluster.daemon_addresses)
    caller = Caller(cluster.runtime, settings, links)
    write_and_read(caller, groups[0], daemons)
    show_refusals(caller, links, groups[0], daemons[0])
    show_failover(cluster, caller, groups[0])
    withdraw_key(cluster, operator, caller, groups[0])
    links.close()
    stop_daemon(cluster, daemons[0])


def run_demo(runtime: Runtime) -> None:
    """Run the demo; the error of a failed one names the folder with the logs."""
    cluster = Cluster(runtime, DEMO)
    try:
        with cluster:
            run_steps(cluster)
    except (DemoError, ClusterError, CommandError, OSError) as error:
        raise DemoError(f"{error}\nThe logs are in {cluster.folder}") from error
    except KeyboardInterrupt:
        cluster.remove_logs()
        raise
    report("Ended every process. The demo is done.")


def main() -> None:
    """Run the demo; exit 1 with the reason when a step fails."""
    end_on_sigterm()
    runtime = Runtime(task_limit=TASKS)
    try:
        run_demo(runtime)
    except DemoError as error:
        click.echo(f"The demo failed: {error}", err=True)
        sys.exit(1)
    except KeyboardInterrupt:
        click.echo("The demo was interrupted; every process was ended.", err=True)
        sys.exit(130)
    finally:
        runtime.close(CLOSE_TIMEOUT_MS)


if __name__ == "__main__":
    main()
