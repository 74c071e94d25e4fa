"""A stand-in for a service of the users' platform, with the line protocol.

A primary and its replicas run in one process, so that replication is a copy between
lists of commits, which replicas apply after a delay. Tests inject faults through
attributes of an instance, such as lost answers or paused replication.
"""

from collections.abc import Callable
from typing import NamedTuple

from bronzerelay.pooler.lines import LineReader
from bronzerelay.runtime import Address, Connection, Listener, Runtime, TaskLimitError

LOCAL = "127.0.0.1"
READ_TIMEOUT_MS = 60_000.0
WORDS_WITHOUT_FIELDS = ("COMMIT", "ROLLBACK", "DISCARD", "STATUS")


class Commit(NamedTuple):
    """One entry of a log: its position, the values that it stored, and its time."""

    term: int
    number: int
    changes: tuple[tuple[str, str], ...]
    at_ms: float


class Run(NamedTuple):
    """The record of a statement that an instance has run, for tests."""

    instance: str
    workspace: str
    statement_id: str
    text: str
    values: tuple[tuple[str, str], ...]
    shape: str
    # Which of the group's transactions it ran in, 0 outside of one.
    transaction: int = 0


class _RefusedError(Exception):
    """A statement is answered with an error."""


def _split_fields(text: str, count: int) -> list[str]:
    """Return the fields of a text; only the last one may have spaces of its own."""
    fields = text.split(" ", count - 1)
    if len(fields) < count or not all(fields):
        raise _RefusedError(f"PROTOERR {text!r} lacks a field")
    return fields


def _split_query(line: str) -> tuple[str, str]:
    """Return the id and the text of a statement."""
    word, statement_id, text = _split_fields(line, 3)
    if word != "QUERY" or "\r" in line or "\n" in line:
        raise _RefusedError("PROTOERR one line with QUERY is expected")
    return statement_id, text


class LineInstance:
    """One instance of a group, with a port of its own."""

    def __init__(self, group: "LineGroup", name: str, is_primary: bool):
        self.group = group
        self.name = name
        self.is_primary = is_primary
        self.term = 1
        self.log: list[Commit] = []
        self.leaving = False
        # Faults that tests set.
        self.replication_paused = False
        self.silent = False
        self.lose_answers = 0
        self.busy_answers = 0
        # Whether it fails all statements, and how many it has failed.
        self.failing = False
        self.failures = 0
        self.refuse_links = False
        self.work_ms = 0.0
        self.held_term = 0
        # When the last query of any kind arrived.
        self.last_query_ms = 0.0
        self.links = 0
        self.connections: set[Connection] = set()
        self.listener: Listener = group.runtime.listen(Address(LOCAL, 0))

    @property
    def address(self) -> Address:
        """Return the address on which the instance listens."""
        return self.listener.address

    def applied(self) -> list[Commit]:
        """Return the part of the log that reads see."""
        if self.is_primary:
            return self.log
        newest_ms = self.group.runtime.clock.now_ms() - self.group.lag_ms
        return [commit for commit in self.log if commit.at_ms <= newest_ms]

    def format_log_end(self, log: list[Commit]) -> str:
        """Return the end of a log as TERM.NUMBER."""
        return f"{log[-1].term}.{log[-1].number}" if log else f"{self.term}.0"

    def accept(self) -> None:
        """Serve connections until the port is closed."""
        while True:
            try:
                connection = self.listener.accept()
            except OSError:
                return
            try:
                self.group.runtime.start(_Link(self, connection).serve)
            except (TaskLimitError, RuntimeError):
                connection.close()

    def close_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.close()


class _Link:
    """One connection to an instance."""

    def __init__(self, instance: LineInstance, connection: Connection):
        self._instance = instance
        self._group = instance.group
        self._connection = connection
        self._clock = self._group.runtime.clock
        self._reader = LineReader(connection, self._clock)
        self._workspace = ""
        self._settings: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._state = "I"
        self._transaction = 0
        self._read_write = False
        self._term = 0
        self._changes: list[tuple[str, str]] = []

    def serve(self) -> None:
        """Answer statements until either side closes the connection."""
        self._instance.connections.add(self._connection)
        self._instance.links += 1
        try:
            if self._answer_startup():
                while self._answer_query():
                    pass
        except OSError:
            # The other side has disconnected. Its changes are dropped with this object,
            # which rolls an open transaction back.
            return
        finally:
            self._instance.links -= 1
            self._instance.connections.discard(self._connection)
            self._connection.close()

    def _read(self) -> str:
        return self._reader.read_line(self._clock.now_ms() + READ_TIMEOUT_MS).decode()

    def _send(self, *lines: str) -> None:
        self._connection.send("".join(f"{line}\r\n" for line in lines).encode())

    def _answer_startup(self) -> bool:
        _, service, self._workspace, *expected = self._read().split(" ")
        if service != self._group.service or expected not in (
            [],
            [self._instance.name],
        ):
            self._send("ERROR MOVED another instance stands here")
            return False
        if self._instance.refuse_links or self._instance.links > self._group.max_links:
            self._send("ERROR MAXCONN no connection is free")
            return False
        self._send(self._format_ready())
        return True

    def _format_ready(self) -> str:
        instance = self._instance
        return f"READY {self._state} {instance.format_log_end(instance.applied())}"

    def _answer_query(self) -> bool:
        line = self._read()
        instance = self._instance
        instance.last_query_ms = self._group.runtime.clock.now_ms()
        while instance.silent:
            if not self._group.runtime.sleep_ms(10):
                return False
        try:
            statement_id, text = _split_query(line)
            with self._group.condition:
                lines = self._run(statement_id, text)
        except _RefusedError as error:
            if self._state == "T":
                self._state = "E"
            self._send(f"ERROR {error}", self._format_ready())
            return True
        if instance.work_ms:
            self._group.runtime.sleep_ms(instance.work_ms)
        if statement_id != "-" and instance.lose_answers:
            instance.lose_answers -= 1
            return False
        self._send(*lines, self._format_ready())
        return True

    def _run(self, statement_id: str, text: str) -> list[str]:
        instance = self._instance
        if statement_id != "-" and instance.busy_answers:
            instance.busy_answers -= 1
            raise _RefusedError("RETRY no slot")
        if statement_id != "-" and instance.failing:
            instance.failures += 1
            raise _RefusedError("FAILED out of order")
        word, _, rest = text.partition(" ")
        if word == "WAITLSN":
            floor, _, text = rest.partition(" ")
            self._check_floor(floor)
            word, _, rest = text.partition(" ")
        handlers: dict[str, Callable[[str], list[str]]] = {
            "BEGIN": self._begin,
            "COMMIT": self._commit,
            "ROLLBACK": self._roll_back,
            "SET": self._set,
            "DISCARD": self._discard,
            "PARSE": self._prepare,
            "CLOSE": self._close_name,
            "STATUS": self._status,
        }
        if word in handlers:
            if word in WORDS_WITHOUT_FIELDS and text != word:
                raise _RefusedError(f"PROTOERR {word} has no fields")
            if word == "COMMIT":
                self._record_run(statement_id, text, "")
            return handlers[word](rest)
        return self._run_data(statement_id, text, word, rest)

    def _check_floor(self, floor: str) -> None:
        term, _, number = floor.partition(".")
        log = self._instance.applied()
        end = (log[-1].term, log[-1].number) if log else (self._instance.term, 0)
        if end < (int(term), int(number)):
            raise _RefusedError("LAGGING the log lacks that position")

    def _record_run(self, statement_id: str, text: str, shape: str) -> None:
        values = tuple(sorted(self._settings.items()))
        run = Run(
            self._instance.name,
            self._workspace,
            statement_id,
            text,
            values,
            shape,
            self._transaction if self._state == "T" else 0,
        )
        self._group.runs.append(run)

    def _begin(self, rest: str) -> list[str]:
        if rest not in ("", "FETCH"):
            raise _RefusedError("PROTOERR BEGIN takes FETCH alone")
        self._read_write = rest != "FETCH"
        if self._read_write and not self._instance.is_primary:
            raise _RefusedError("READONLY this is a replica")
        self._state, self._term, self._changes = "T", self._instance.term, []
        self._group.begun += 1
        self._transaction = self._group.begun
        return ["COMPLETE -"]

    def _check_primary(self) -> None:
        instance = self._instance
        lost = not instance.is_primary or instance.term != self._term
        if self._state == "T" and self._read_write and lost:
            raise _RefusedError("READONLY the lead is lost")

    def _commit(self, _: str) -> list[str]:
        if self._state == "E":
            self._state = "I"
            raise _RefusedError("ABORTED the transaction had failed")
        if self._changes:
            self._check_primary()
            self._group.commit(self._instance, tuple(self._changes))
        self._state = "I"
        return [f"COMPLETE {self._make_signature()}"]

    def _roll_back(self, _: str) -> list[str]:
        self._state, self._changes = "I", []
        return ["COMPLETE -"]

    def _set(self, rest: str) -> list[str]:
        name, value = _split_fields(rest, 2)
        self._settings[name] = value
        return ["COMPLETE -"]

    def _discard(self, _: str) -> list[str]:
        self._settings, self._prepared = {}, {}
        return ["COMPLETE -"]

    def _prepare(self, rest: str) -> list[str]:
        name, kind, shape = _split_fields(rest, 3)
        if kind not in ("FETCH", "STORE"):
            raise _RefusedError(f"PROTOERR {kind} can't be prepared")
        self._prepared[name] = f"{kind} {shape}"
        return ["COMPLETE -"]

    def _close_name(self, rest: str) -> list[str]:
        self._prepared.pop(rest, None)
        return ["COMPLETE -"]

    def _status(self, _: str) -> list[str]:
        instance = self._instance
        role = "primary" if instance.is_primary else "replica"
        end = instance.format_log_end(instance.log)
        held = instance.held_term
        row = f"{role} {instance.term} {end} {held} 0 0 {instance.links}"
        return [f"DATAROW {row}", "COMPLETE -"]

    def _run_data(
        self, statement_id: str, text: str, word: str, rest: str
    ) -> list[str]:
        shape = ""
        if word == "EXECUTE":
            name, rest = _split_fields(rest, 2)
            if name not in self._prepared:
                raise _RefusedError("NOPREP no such name")
            shape = self._prepared[name]
            word = shape.split(" ")[0]
        self._check_primary()
        item, _, data = rest.partition(" ")
        if not item or (word == "STORE" and not data):
            raise _RefusedError(f"PROTOERR {text!r} lacks a field")
        if word == "FETCH":
            self._record_run(statement_id, text, shape)
            values = dict(
                change
                for commit in self._instance.applied()
                for change in commit.changes
            )
            return [
                f"DATAROW {values.get(item, '-')}",
                f"COMPLETE {self._make_signature()}",
            ]
        if word != "STORE":
            raise _RefusedError(f"PROTOERR {word} is unknown")
        if not self._instance.is_primary:
            raise _RefusedError("READONLY this is a replica")
        self._record_run(statement_id, text, shape)
        if self._state == "T":
            self._changes.append((item, data))
        else:
            self._group.commit(self._instance, ((item, data),))
        return [f"COMPLETE {self._make_signature()}"]

    def _make_signature(self) -> str:
        return f"{self._instance.name}.{len(self._group.runs)}"


class LineGroup:
    """A service: its instances, their logs and what they ran."""

    def __init__(self, runtime: Runtime, service: str, lag_ms: float = 20.0):
        self.runtime = runtime
        self.service = service
        self.lag_ms = lag_ms
        self.max_links = 21
        self.slots = 3
        self.condition = runtime.make_condition()
        self.runs: list[Run] = []
        # How many transactions were begun.
        self.begun = 0
        self.promotions: list[tuple[str, str, int]] = []
        self.instances: dict[str, LineInstance] = {}
        for number in range(3):
            self.add(f"{service}-{number}", number == 0)

    def add(self, name: str, is_primary: bool) -> LineInstance:
        """Add an instance and start it."""
        instance = LineInstance(self, name, is_primary)
        self.instances[name] = instance
        self.runtime.start(instance.accept)
        return instance

    def commit(
        self, primary: LineInstance, changes: tuple[tuple[str, str], ...]
    ) -> None:
        """Append a commit to the primary's log and to those of its replicas."""
        number = primary.log[-1].number + 1 if primary.log else 1
        commit = Commit(primary.term, number, changes, self.runtime.clock.now_ms())
        primary.log.append(commit)
        for other in self.instances.values():
            is_replica = not other.is_primary and other.term == primary.term
            if other is not primary and is_replica and not other.replication_paused:
                other.log.append(commit)

    def promote(self, name: str, holder: str, epoch: int) -> bool:
        """Make an instance primary of the next term; return whether it is running."""
        self.promotions.append((name, holder, epoch))
        chosen = self.instances.get(name)
        if chosen is None or chosen.silent:
            return False
        with self.condition:
            if chosen.is_primary:
                return True
            term = max(instance.term for instance in self.instances.values()) + 1
            for other in self.instances.values():
                if other is chosen or other.silent:
                    continue
                other.is_primary = False
                other.term = term
                other.log = list(chosen.log)
            chosen.is_primary, chosen.term = True, term
        return True

    def close(self) -> None:
        """Close all ports and connections."""
        for instance in self.instances.values():
            instance.listener.close()
            instance.close_connections()
