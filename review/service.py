"""A stand-in for one service: a primary and its replicas, with slots and a sync mode.

It follows PROTOCOL.md: reads, writes, commits, STATUS and new connections occupy a
slot, and a query that finds none free is answered with RETRY. With `sync_replicas` 1 a
commit is acknowledged once one replica has received it.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

LOCAL = "127.0.0.1"
HANDSHAKE_MS = 12.0
PROMOTE_MS = 300.0
SYNC_WAIT_MS = 5_000.0
# How long after it reaches the new primary an old one continues.
STEP_DOWN_S = 1.0
# Texts that occupy no slot.
FREE_WORDS = ("BEGIN", "ROLLBACK", "SET", "DISCARD", "PARSE", "CLOSE")


class Entry(NamedTuple):
    """One commit of a log, with the id of the write or of the COMMIT."""

    term: int
    number: int
    statement: str
    changes: tuple[tuple[str, str], ...]
    at: float


class AnswerError(Exception):
    """A query is answered with an error."""


class Instance:
    """One instance; faults are set as attributes."""

    def __init__(self, service: "Service", name: str, is_primary: bool):
        self.service = service
        self.name = name
        self.is_primary = is_primary
        self.term = 1
        self.log: list[Entry] = []
        self.leaving = False
        # Whether it receives nothing of the primary's log.
        self.deaf = False
        self.crashed = False
        # Whether it is cut off: it neither answers nor runs anything.
        self.dark = False
        self.connections: set[socket.socket] = set()
        self._used = 0
        self._lock = threading.Lock()
        self._socket = socket.create_server((LOCAL, 0), backlog=256)
        self.address = "{}:{}".format(*self._socket.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def position(self) -> tuple[int, int]:
        """Return the end of the log that it has received."""
        return (self.log[-1].term, self.log[-1].number) if self.log else (1, 0)

    def applied(self) -> list[Entry]:
        """Return the part of the log that reads see."""
        if self.is_primary:
            return self.log
        newest = time.monotonic() - self.service.lag_ms / 1000
        return [entry for entry in self.log if entry.at <= newest]

    def take_slot(self) -> bool:
        """Take a slot if one is free."""
        with self._lock:
            if self._used >= self.service.slots:
                return False
            self._used += 1
            return True

    def give_slot(self) -> None:
        """Give a slot back."""
        with self._lock:
            self._used -= 1

    def crash(self) -> None:
        """End like a killed process: the port is closed, connections are reset."""
        self.crashed = True
        self._socket.close()
        for connection in list(self.connections):
            _close(connection)

    def _accept(self) -> None:
        while not self.crashed:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            link = Link(self, connection)
            threading.Thread(target=link.serve, daemon=True).start()


def _close(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()


class Link:
    """One connection to an instance."""

    def __init__(self, instance: Instance, connection: socket.socket):
        self._instance = instance
        self._service = instance.service
        self._connection = connection
        self._file = connection.makefile("rb")
        self._state = "I"
        self._read_only = False
        self._changes: list[tuple[str, str]] = []
        self._prepared: dict[str, str] = {}

    def serve(self) -> None:
        """Answer until either side closes; an open transaction is rolled back."""
        try:
            self._serve_startup()
            while line := self._file.readline():
                # What arrives while the instance is dark is lost.
                if self._instance.dark:
                    raise OSError("dark")
                self._answer(line.decode().rstrip("\r\n"))
        except (OSError, ValueError):
            return
        finally:
            self._instance.connections.discard(self._connection)
            _close(self._connection)

    def _send(self, *lines: str) -> None:
        self._connection.sendall("".join(f"{line}\r\n" for line in lines).encode())

    def _ready(self) -> str:
        log = self._instance.applied()
        term, number = (log[-1].term, log[-1].number) if log else (1, 0)
        return f"READY {self._state} {term}.{number}"

    def _serve_startup(self) -> None:
        fields = self._file.readline().decode().split()
        while self._instance.dark:
            time.sleep(0.02)
        if fields[1] != self._service.name or fields[3:] not in (
            [],
            [self._instance.name],
        ):
            self._send("ERROR MOVED another instance stands here")
            raise OSError("moved")
        time.sleep(HANDSHAKE_MS / 1000)
        self._send(self._ready())

    def _answer(self, line: str) -> None:
        _, statement, text = line.split(" ", 2)
        word = text.split(" ", 1)[0]
        needs_slot = word not in FREE_WORDS
        if needs_slot and not self._instance.take_slot():
            self._service.note(f"{self._instance.name} RETRY {statement} {text}")
            self._send("ERROR RETRY no slot is free", self._ready())
            return
        try:
            rows = self._run(statement, text)
            lines = [f"DATAROW {row}" for row in rows]
            is_local = word in (*FREE_WORDS, "STATUS")
            sign = "-" if is_local else f"{self._instance.name}.{statement}"
            reply = [*lines, f"COMPLETE {sign}"]
        except AnswerError as error:
            if self._state == "T":
                self._state = "E"
            reply = [f"ERROR {error}"]
        finally:
            if needs_slot:
                self._instance.give_slot()
        if self._instance.crashed:
            raise OSError("crashed")
        self._send(*reply, self._ready())

    def _run(self, statement: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        if word == "WAITLSN":
            floor, _, text = rest.partition(" ")
            log = self._instance.applied()
            end = (log[-1].term, log[-1].number) if log else (1, 0)
            if end < tuple(map(int, floor.split("."))):
                raise AnswerError("LAGGING the log lacks that position")
            word, _, rest = text.partition(" ")
        if word == "STATUS":
            return [self._status()]
        if word == "BEGIN":
            self._read_only = rest == "FETCH"
            if not self._read_only and not self._instance.is_primary:
                raise AnswerError("READONLY this is a replica")
            self._state, self._changes = "T", []
            return []
        if word == "ROLLBACK":
            self._state, self._changes = "I", []
            return []
        if word in FREE_WORDS:
            if word == "PARSE":
                name, kind, _ = rest.split(" ", 2)
                self._prepared[name] = kind
            return []
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                raise AnswerError("NOPREP no such name")
            word = self._prepared[name]
        if word == "COMMIT":
            return self._commit(statement)
        return self._run_data(statement, word, rest)

    def _status(self) -> str:
        instance = self._instance
        role = "primary" if instance.is_primary else "replica"
        term, number = instance.position()
        received = f"{term}.{number}"
        self._service.note(f"{instance.name} STATUS {role} {received}")
        return f"{role} {instance.term} {received} 0 0 0 {len(instance.connections)}"

    def _commit(self, statement: str) -> list[str]:
        if self._state == "E":
            self._state = "I"
            raise AnswerError("ABORTED the transaction had failed")
        changes, self._changes = tuple(self._changes), []
        self._state = "I"
        if changes:
            self._check_primary()
            self._service.commit(self._instance, statement, changes)
        return []

    def _check_primary(self) -> None:
        if not self._instance.is_primary:
            raise AnswerError("READONLY this is a replica")

    def _run_data(self, statement: str, word: str, rest: str) -> list[str]:
        item, _, data = rest.partition(" ")
        if word == "STORE":
            self._check_primary()
        self._service.note(f"{self._instance.name} RUN {statement} {word} {item}")
        time.sleep(self._service.work_ms / 1000)
        if word == "FETCH":
            values = {
                key: value
                for entry in self._instance.applied()
                for key, value in entry.changes
            }
            return [values.get(item, "-")]
        self._check_primary()
        if self._state == "T":
            self._changes.append((item, data))
        else:
            self._service.commit(self._instance, statement, ((item, data),))
        return []


class Service:
    """A primary and two replicas."""

    def __init__(
        self,
        name: str,
        note: Callable[[str], None],
        slots: int = 3,
        work_ms: float = 24.0,
        lag_ms: float = 60.0,
        sync_replicas: int = 0,
    ):
        self.name = name
        self.note = note
        self.slots = slots
        self.work_ms = work_ms
        self.lag_ms = lag_ms
        self.sync_replicas = sync_replicas
        # When each statement was committed.
        self.committed_at: dict[str, float] = {}
        # When each term's promotion took effect.
        self.promoted_at: dict[int, float] = {}
        # Called with the instance that takes over, before its log replaces the others.
        self.on_promote: Callable[[Instance], Any] = lambda _: None
        # Called with each instance that says something new of itself.
        self.on_change: Callable[[Instance], Any] = lambda _: None
        self.condition = threading.Condition()
        self.instances = {
            f"{name}-{number}": Instance(self, f"{name}-{number}", number == 0)
            for number in range(3)
        }

    def commit(
        self,
        primary: Instance,
        statement: str,
        changes: tuple[tuple[str, str], ...],
    ) -> None:
        """Append a commit, and wait until enough replicas have received it."""
        with self.condition:
            number = primary.position()[1] + 1
            now = time.monotonic()
            entry = Entry(primary.term, number, statement, changes, now)
            primary.log.append(entry)
            self.committed_at[statement] = now
            receivers = [
                other
                for other in self.instances.values()
                if other is not primary
                and other.term == primary.term
                and not (other.deaf or other.crashed or other.is_primary)
            ]
            for other in receivers:
                other.log.append(entry)
        if len(receivers) < self.sync_replicas:
            time.sleep(SYNC_WAIT_MS / 1000)
            raise AnswerError("TIMEOUT no replica has received it")

    def promote(self, name: str, holder: str, epoch: int) -> bool:
        """Make an instance lead the next term with what it has received."""
        chosen = self.instances[name]
        if chosen.crashed or chosen.dark:
            return False
        if chosen.is_primary:
            return True
        time.sleep(PROMOTE_MS / 1000)
        with self.condition:
            self.note(f"PROMOTE {name} {chosen.position()} by {holder} epoch {epoch}")
            self.on_promote(chosen)
            term = max(one.term for one in self.instances.values()) + 1
            for other in self.instances.values():
                if other is chosen or other.crashed or other.dark:
                    continue
                if other.is_primary:
                    self._end_later(other)
                    continue
                other.deaf, other.term, other.log = False, term, list(chosen.log)
            chosen.is_primary, chosen.term = True, term
            self.promoted_at[term] = time.monotonic()
        for one in self.instances.values():
            if not (one.crashed or one.dark):
                self.on_change(one)
        return True

    def _end_later(self, instance: Instance) -> None:
        """Let an old primary continue until a second after it reaches the new one."""
        timer = threading.Timer(STEP_DOWN_S, self.step_down, (instance,))
        timer.daemon = True
        timer.start()

    def step_down(self, instance: Instance) -> None:
        """Make an instance a replica of the primary of the newest term, if it isn't."""
        with self.condition:
            newest = max(self.instances.values(), key=lambda one: one.term)
            if instance.dark or newest.term <= instance.term:
                return
            instance.is_primary, instance.term = False, newest.term
            instance.log = list(newest.log)
        self.on_change(instance)
