"""An open-loop load: requests are sent at times that are fixed beforehand."""

import itertools
import signal
from pathlib import Path
from typing import Any

import click

from bronzerelay.codes import RAN, UNKNOWN
from bronzerelay.runtime import Address, Runtime, parse_address
from bronzerelay.types import Statement, StatementRequest
from standins.caller import Caller, CallerSettings, make_request_id
from standins.exchange import LinkPool
from standins.record import UNREACHABLE, Entry, save_record
from standins.schedule import (
    SECOND_MS,
    TRANSACTION,
    Arrival,
    LoadSettings,
    build_schedule,
)
from standins.summary import print_summary

START_DELAY_MS = 50
SPREADS = ("random", "one", "moving")
ARRIVALS = ("poisson", "even")


class Load:
    """A load that runs in the background and adds its requests to `record`."""

    def __init__(
        self,
        runtime: Runtime,
        settings: LoadSettings,
        addresses: dict[str, Address],
        keys: dict[str, str],
    ):
        self.settings = settings
        self.record: list[Entry] = []
        self._runtime = runtime
        self._keys = keys
        self._links = LinkPool(runtime, addresses)
        self._daemons = sorted(addresses)
        draw = runtime.make_random(settings.seed)
        self.schedule = build_schedule(draw, settings, sorted(addresses))
        self._arrivals = iter(self.schedule)
        self._lock = runtime.make_lock()
        self._idle: dict[str, list[Caller]] = {name: [] for name in settings.rates}
        self._caller_numbers = itertools.count(1)
        self._tasks: list[Any] = []
        self._start_ms = 0.0

    def start(self) -> None:
        """Begin to send requests, and return at once."""
        self._start_ms = self._runtime.clock.now_ms() + START_DELAY_MS
        count = min(self.settings.workers, len(self.schedule))
        self._tasks = [self._runtime.start(self._work) for _ in range(count)]

    def wait(self) -> list[Entry]:
        """Return the record once every request has been answered."""
        for task in self._tasks:
            task.result()
        self._links.close()
        return self.record

    def stop(self) -> None:
        """Send no further requests; those already sent are still answered."""
        with self._lock:
            self._arrivals = iter(())

    def _work(self) -> None:
        clock = self._runtime.clock
        while arrival := self._take_arrival():
            due_ms = self._start_ms + arrival.due_ms
            if not self._runtime.sleep_ms(due_ms - clock.now_ms()):
                return
            caller = self._take_caller(arrival.workspace)
            self._send(caller, arrival, due_ms)
            with self._lock:
                self._idle[arrival.workspace].append(caller)

    def _take_arrival(self) -> Arrival | None:
        with self._lock:
            return next(self._arrivals, None)

    def _take_caller(self, workspace: str) -> Caller:
        # A session runs one request at a time. With two at once, the session token of
        # the earlier change could overwrite that of the later one.
        with self._lock:
            if self._idle[workspace]:
                return self._idle[workspace].pop(0)
            name = f"{workspace}/{self.settings.label}/{next(self._caller_numbers)}"
        settings = CallerSettings(
            name, workspace, self._keys[workspace], self.settings.timeout_ms
        )
        return Caller(self._runtime, settings, self._links, self.record)

    def _send(self, caller: Caller, arrival: Arrival, due_ms: float) -> None:
        if arrival.verb == TRANSACTION:
            self._run_transaction(caller, arrival, due_ms)
            return
        request = build_statement_request(self._runtime, self.settings, arrival)
        entry = self._send_balanced(caller, request, arrival.daemon, due_ms)
        resends = self.settings.resends if entry.is_write and entry.repeatable else 0
        while entry.ran == UNKNOWN and resends:
            resends -= 1
            entry = self._send_balanced(caller, request, "", due_ms)

    def _run_transaction(self, caller: Caller, arrival: Arrival, due_ms: float) -> None:
        """Append to two rows in a transaction; roll it back when one is refused."""
        begin = StatementRequest(group=arrival.group, action="begin")
        begun = self._send_balanced(caller, begin, arrival.daemon, due_ms)
        if begun.ran != RAN:
            return
        ends = {"group": arrival.group, "transaction": begun.transaction}
        action = "commit"
        for row in (arrival.row, f"{arrival.row}-second"):
            token = make_request_id(self._runtime)
            statement = Statement(verb="append", row=row, value=token)
            entry = caller.send(StatementRequest(**ends, statement=statement))
            if entry.ran != RAN:
                action = "rollback"
                break
        caller.send(StatementRequest(**ends, action=action))

    def _send_balanced(
        self, caller: Caller, request: StatementRequest, daemon: str, due_ms: float
    ) -> Entry:
        """Send a request, and try other daemons as a load balancer would.

        A load balancer tries the next VM when one refuses the connection. If refused
        connections to a dead VM counted as failed requests, they would hide the others.
        """
        entry = caller.send(request, daemon, due_ms)
        others = [name for name in self._daemons if name != daemon]
        self._runtime.random.shuffle(others)
        while entry.code == UNREACHABLE and others:
            entry = caller.send(request, others.pop(), due_ms)
        return entry


def build_statement_request(
    runtime: Runtime, settings: LoadSettings, arrival: Arrival
) -> StatementRequest:
    """Return the request for an arrival; each append carries a unique value."""
    token = make_request_id(runtime)
    statement = Statement(verb=arrival.verb, row=arrival.row)
    if arrival.verb == "append":
        statement["value"] = token
    if arrival.verb == "add":
        statement["amount"] = 1
    request = StatementRequest(group=arrival.group, statement=statement)
    if arrival.verb != "get":
        request["idempotency_key"] = token
        request["repeatable"] = arrival.repeatable
    if arrival.accepts_age:
        request["max_age_ms"] = settings.max_age_ms
    if settings.deadline_ms:
        request["deadline_ms"] = settings.deadline_ms
    return request


def end_on_sigterm() -> None:
    """Raise KeyboardInterrupt on SIGTERM, so that child processes are ended too."""

    def end(number: int, frame: Any) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, end)


def parse_daemons(texts: tuple[str, ...]) -> dict[str, Address]:
    """Return the addresses of daemons that are given as NAME=HOST:PORT."""
    daemons = {}
    for text in texts:
        name, _, address = text.partition("=")
        try:
            daemons[name] = parse_address(address)
        except ValueError as error:
            raise click.BadParameter(f"{error}; give NAME=HOST:PORT") from None
    return daemons


@click.command()
@click.option(
    "--daemon",
    "daemons",
    multiple=True,
    required=True,
    metavar="NAME=HOST:PORT",
    help="A daemon to send requests to; repeat the option for several.",
)
@click.option(
    "--workspace",
    "workspaces",
    multiple=True,
    required=True,
    type=(str, str, float),
    metavar="NAME KEY RATE",
    help="A workspace with its key and its requests per second.",
)
@click.option(
    "--group", "groups", multiple=True, required=True, help="A database group to use."
)
@click.option(
    "--seconds", type=click.FloatRange(0.1, 600), default=5, show_default=True
)
@click.option("--writes", type=click.FloatRange(0, 1), default=0.1, show_default=True)
@click.option("--transactions", type=click.FloatRange(0, 1), default=0.0)
@click.option("--stale-reads", type=click.FloatRange(0, 1), default=0.0)
@click.option("--spread", type=click.Choice(SPREADS), default="random")
@click.option("--arrivals", type=click.Choice(ARRIVALS), default="poisson")
@click.option("--seed", type=int, help="Repeat the schedule of an earlier run.")
@click.option(
    "--record",
    "record_path",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the record to this file, one JSON list per line.",
)
def main(
    daemons: tuple[str, ...],
    workspaces: tuple[tuple[str, str, float], ...],
    groups: tuple[str, ...],
    seconds: float,
    writes: float,
    transactions: float,
    stale_reads: float,
    spread: str,
    arrivals: str,
    seed: int | None,
    record_path: Path | None,
) -> None:
    """Load running daemons and print a summary of the answers.

    Requests are sent at times that are fixed beforehand, whether or not earlier ones
    have been answered. Latency counts from those times, so that it includes stalls.

    Example:
    \b
        python -m standins.caller --daemon vm-1=127.0.0.1:8101 \\
            --workspace caterer-1 KEY 50 --group orders --seconds 10
    """
    end_on_sigterm()
    runtime = Runtime(task_limit=1024)
    seed = runtime.random.randrange(2**31) if seed is None else seed
    settings = LoadSettings(
        rates={name: rate for name, _, rate in workspaces},
        groups=groups,
        seed=seed,
        duration_ms=int(seconds * SECOND_MS),
        write_share=writes,
        transaction_share=transactions,
        age_share=stale_reads,
        spread=spread,
        arrivals=arrivals,
    )
    keys = {name: key for name, key, _ in workspaces}
    load = Load(runtime, settings, parse_daemons(daemons), keys)
    click.echo(f"{len(load.schedule)} requests in {seconds:g} s, seed {seed}")
    load.start()
    record = load.wait()
    print_summary(record)
    if record_path:
        save_record(record, record_path)
    runtime.close(SECOND_MS)
