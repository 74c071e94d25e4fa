"""Links to instances, and the pool that keeps them.

A link is a connection to an instance that belongs to one workspace and carries session
state. The instance binds the connection to its workspace in the handshake, and keeps
session values and prepared statements on it. So a link tracks the state of its
connection, and changes it to that of a caller's session before it runs a statement of
that session.
"""

from collections.abc import Callable

from bronzerelay.pooler.fleetconfig import InstanceEntry
from bronzerelay.pooler.lines import LineReader
from bronzerelay.pooler.messages import (
    Answer,
    AnswerPart,
    Fault,
    LineCodec,
    Position,
    Prepared,
    TransactionState,
)
from bronzerelay.runtime import Connection, Runtime

# Connecting within a region takes a millisecond or two. A SYN that was dropped by a
# full accept queue is retransmitted only after a second; another instance is faster by
# then.
CONNECT_TIMEOUT_MS = 400
# The id of statements that the pooler itself sends, not a caller.
POOLER_STATEMENT_ID = "-"
# How long a link may be idle before it is closed, in milliseconds. An instance has few
# connections, and other daemons may need them.
IDLE_CLOSE_MS = 4_000
# How long setting a session's state on a link may take, in milliseconds. It needs no
# slot, so only an unresponsive instance takes longer.
SESSION_STATE_TIMEOUT_MS = 600
# How long the handshake on a new connection may take, in milliseconds. It needs a slot,
# so at a busy instance it may have to wait for running statements.
HANDSHAKE_TIMEOUT_MS = 1_000
# How many statements may be prepared on one connection before its state is discarded,
# so that callers can't exhaust an instance's memory.
PREPARED_LIMIT = 200


class LinkError(Exception):
    """A link can't be opened or given a session's state; the statement hasn't run."""

    def __init__(self, fault: Fault, detail: str):
        super().__init__(f"{fault.name.lower()}: {detail}")
        self.fault = fault
        self.detail = detail


# Counts the bytes of an exchange with an instance, sent and received, by their kind.
CountBytes = Callable[[InstanceEntry, str, int], None]


def ignore_bytes(entry: InstanceEntry, kind: str, count: int) -> None:
    """Count nothing."""


class InstanceLink:
    """One connection to an instance, used by one task at a time."""

    def __init__(
        self,
        runtime: Runtime,
        codec: LineCodec,
        connection: Connection,
        entry: InstanceEntry,
        workspace: str,
        count_bytes: CountBytes = ignore_bytes,
        number: int = 0,
    ):
        # Tells the connections of one daemon apart in its log.
        self.number = number
        self._count_bytes = count_bytes
        self._clock = runtime.clock
        self._codec = codec
        self._connection = connection
        self._reader = LineReader(connection, runtime.clock)
        self.entry = entry
        self.workspace = workspace
        self.usable = True
        self.in_transaction = False
        self.idle_since_ms = 0.0
        self._values: dict[str, str] = {}
        # The names of the statements that are prepared on the connection. Callers share
        # them, whatever names they use themselves.
        self._names: dict[Prepared, str] = {}
        # How many names have been given on the connection; none is given twice.
        self._names_given = 0

    def handshake(self, startup: bytes, deadline_ms: float) -> Answer:
        """Send the startup message on a new connection; return the answer."""
        return self._exchange(startup, deadline_ms, is_handshake=True)

    def call(
        self, statement_id: str, text: str, floor: Position | None, deadline_ms: float
    ) -> Answer:
        """Run one statement; `floor` is the position that the log must have reached.

        A link is closed if its answer is incomplete, since a late answer would be taken
        for the answer to the next statement.
        """
        try:
            data = self._codec.encode_query(statement_id, text, floor)
        except ValueError as error:
            self.close()
            return Answer(fault=Fault.UNSENDABLE, detail=str(error))
        answer = self._exchange(data, deadline_ms)
        self.in_transaction = answer.state is not TransactionState.IDLE
        return answer

    def _exchange(
        self, data: bytes, deadline_ms: float, is_handshake: bool = False
    ) -> Answer:
        if self._reader.has_data():
            self.close()
            detail = "the instance has sent more than an answer"
            return Answer(fault=Fault.UNREACHABLE, detail=detail)
        sent = False
        received_before = self._reader.received
        try:
            self._connection.set_timeout(max(1.0, deadline_ms - self._clock.now_ms()))
            # Part of the data may arrive even if sending fails.
            sent = True
            self._connection.send(data)
            return self._read_answer(deadline_ms, is_handshake)
        except TimeoutError:
            self.close()
            return Answer(fault=Fault.TIMED_OUT, detail="no answer in time")
        except (OSError, ValueError) as error:
            self.close()
            fault = Fault.LOST if sent else Fault.UNREACHABLE
            return Answer(fault=fault, detail=str(error))
        finally:
            kind = "handshakes" if is_handshake else "statements"
            received = self._reader.received - received_before
            self._count_bytes(self.entry, kind, len(data) + received)

    def _read_answer(self, deadline_ms: float, is_handshake: bool = False) -> Answer:
        """Return the complete answer; in the handshake an error line ends it.

        An instance closes a connection after refusing it. If this counted as a lost
        answer, a primary without free connections would look dead and be replaced.
        """
        rows: list[str] = []
        signature = ""
        is_done = is_handshake
        fault = None
        detail = ""
        while True:
            line = self._codec.decode_instance(self._reader.read_line(deadline_ms))
            if line.part is AnswerPart.ROW:
                rows.append(line.text)
            elif line.part is AnswerPart.DONE:
                signature, is_done = line.text, True
            elif line.part is AnswerPart.FAULT:
                fault, detail = line.fault, line.text
                if is_handshake:
                    return Answer(fault=fault, detail=detail)
            elif fault is None and not is_done:
                raise ValueError("an answer ends without its outcome")
            else:
                return Answer(
                    tuple(rows), signature, fault, detail, line.state, line.position
                )

    # The session's state

    def has_values(self, values: dict[str, str]) -> bool:
        """Return whether the connection has exactly these session values."""
        return self._values == values

    def apply_session_state(
        self, values: dict[str, str], needed: Prepared | None
    ) -> str | None:
        """Set the session's values and prepare the needed statement.

        Return the name under which it was prepared, or None if it was before. If that
        fails, close the link, since its state is unknown, and raise LinkError.
        """
        given_before = self._names_given
        try:
            texts = self._list_setup_statements(values, needed)
            data = b"".join(
                self._codec.encode_query(POOLER_STATEMENT_ID, text, None)
                for text in texts
            )
        except ValueError as error:
            self.close()
            raise LinkError(Fault.UNSENDABLE, str(error)) from None
        if not texts:
            return None
        deadline_ms = self._clock.now_ms() + SESSION_STATE_TIMEOUT_MS
        answer = self._exchange(data, deadline_ms)
        for _ in texts[1:]:
            if answer.fault is not None or not self.usable:
                break
            answer = self._read_next(deadline_ms)
        if answer.fault is not None:
            self.close()
            raise LinkError(answer.fault, f"the session's state can't be set: {answer}")
        self._values = dict(values)
        if needed is None or self._names_given == given_before:
            return None
        return self._names[needed]

    def _read_next(self, deadline_ms: float) -> Answer:
        try:
            return self._read_answer(deadline_ms)
        except (OSError, ValueError) as error:
            self.close()
            return Answer(fault=Fault.UNREACHABLE, detail=str(error))

    def _list_setup_statements(
        self, values: dict[str, str], needed: Prepared | None
    ) -> list[str]:
        """Return the statements that set the session's state on the connection."""
        texts = []
        surplus = any(name not in values for name in self._values)
        if surplus or len(self._names) > PREPARED_LIMIT:
            texts.append(self._codec.format_discard())
            self._values = {}
            self._names = {}
        for name, value in values.items():
            if self._values.get(name) != value:
                texts.append(self._codec.format_set(name, value))
        if needed is not None and needed not in self._names:
            texts.append(self._codec.format_prepare(self._give_name(needed), needed))
        return texts

    def _give_name(self, prepared: Prepared) -> str:
        """Return a new name for a statement.

        No part of it comes from a caller, whose text the instance could read as several
        fields.
        """
        self._names_given += 1
        name = f"p{self._names_given}"
        self._names[prepared] = name
        return name

    def find_name(self, prepared: Prepared) -> str:
        """Return the name under which a statement is prepared on the connection."""
        return self._names[prepared]

    def forget_prepared(self) -> None:
        """Forget the prepared statements, after the instance didn't know one."""
        self._names = {}

    def is_reusable(self) -> bool:
        """Return whether another session may use the link."""
        return self.usable and not self.in_transaction and self._is_quiet()

    def _is_quiet(self) -> bool:
        """Return whether nothing has come from the instance that wasn't asked for."""
        return not self._reader.has_data() and self._connection.is_quiet()

    def close(self) -> None:
        """Close the connection; the instance rolls back an open transaction."""
        if self.usable:
            self.usable = False
            self._connection.close()


class LinkPool:
    """All links of one daemon, each used by one task at a time.

    Opening a connection takes a slot of its instance for some milliseconds. So idle
    links are kept, up to this daemon's share of the instance's connections.
    """

    def __init__(self, runtime: Runtime, codec: LineCodec):
        self._runtime = runtime
        self._codec = codec
        self._lock = runtime.make_lock()
        self._idle: dict[str, list[InstanceLink]] = {}
        self._open: dict[str, int] = {}
        self._in_use: set[InstanceLink] = set()
        self.opened = 0
        self.count_bytes: CountBytes = ignore_bytes

    def acquire(
        self,
        entry: InstanceEntry,
        workspace: str,
        values: dict[str, str],
        deadline_ms: float,
        max_open: int | None = None,
    ) -> InstanceLink:
        """Return a link of the workspace to the instance, or raise LinkError.

        Idle links of other workspaces make room for a new one beyond `max_open`.
        """
        while True:
            link = self._find_idle(entry, workspace, values)
            if link is None:
                if max_open is not None and self.count_open(entry.id) >= max_open:
                    self.close_idle(entry.id, 1)
                link = self._connect(entry, workspace, deadline_ms)
            elif not link.is_reusable():
                self._discard(link)
                continue
            with self._lock:
                self._in_use.add(link)
            return link

    def _find_idle(
        self, entry: InstanceEntry, workspace: str, values: dict[str, str]
    ) -> InstanceLink | None:
        with self._lock:
            idle = self._idle.get(entry.id, [])
            candidates = [
                link
                for link in idle
                if link.workspace == workspace
                and link.entry.born_ms == entry.born_ms
                and link.entry.address == entry.address
            ]
            if not candidates:
                return None
            best = next(
                (one for one in candidates if one.has_values(values)), candidates[-1]
            )
            idle.remove(best)
            return best

    def _connect(
        self, entry: InstanceEntry, workspace: str, deadline_ms: float
    ) -> InstanceLink:
        now_ms = self._runtime.clock.now_ms()
        timeout_ms = min(CONNECT_TIMEOUT_MS, deadline_ms - now_ms)
        if timeout_ms <= 0:
            raise LinkError(Fault.UNREACHABLE, "no time left to connect")
        try:
            startup = self._codec.encode_startup(entry.service, workspace, entry.id)
        except ValueError as error:
            raise LinkError(Fault.UNSENDABLE, str(error)) from None
        with self._lock:
            self._open[entry.id] = self._open.get(entry.id, 0) + 1
            self.opened += 1
            number = self.opened
        try:
            connection = self._runtime.dial(entry.address, timeout_ms)
        except OSError as error:
            self._count_closed(entry.id)
            raise LinkError(Fault.UNREACHABLE, str(error)) from None
        link = InstanceLink(
            self._runtime,
            self._codec,
            connection,
            entry,
            workspace,
            self.count_bytes,
            number,
        )
        handshake_deadline_ms = min(deadline_ms, now_ms + HANDSHAKE_TIMEOUT_MS)
        answer = link.handshake(startup, handshake_deadline_ms)
        if answer.fault is None:
            return link
        self._discard(link)
        fault = answer.fault
        if fault in (Fault.TIMED_OUT, Fault.LOST):
            fault = Fault.UNREACHABLE
        raise LinkError(fault, answer.detail)

    def release(self, link: InstanceLink, max_idle: int) -> None:
        """Return a link to the pool, which keeps at most `max_idle` of its instance."""
        with self._lock:
            self._in_use.discard(link)
        if not link.usable or link.in_transaction:
            self._discard(link)
            return
        link.idle_since_ms = self._runtime.clock.now_ms()
        surplus = []
        with self._lock:
            idle = self._idle.setdefault(link.entry.id, [])
            idle.append(link)
            while len(idle) > max(0, max_idle):
                surplus.append(idle.pop(0))
        for surplus_link in surplus:
            self._discard(surplus_link)

    def close_idle(self, instance_id: str, count: int | None = None) -> None:
        """Close the idle links of an instance, at most the `count` oldest ones."""
        with self._lock:
            idle = self._idle.get(instance_id, [])
            links = idle[:count]
            del idle[:count]
        for link in links:
            self._discard(link)

    def close_all(self, instance_id: str) -> None:
        """Close all links to an instance, including those that tasks wait on."""
        with self._lock:
            in_use = [link for link in self._in_use if link.entry.id == instance_id]
        for link in in_use:
            link.close()
        self.close_idle(instance_id)

    def close_unused(
        self,
        is_listed: Callable[[InstanceEntry], bool],
        find_idle_close_ms: Callable[[InstanceEntry], float],
    ) -> None:
        """Close links that were idle for too long or whose instance is unlisted."""
        now_ms = self._runtime.clock.now_ms()
        surplus = []
        with self._lock:
            for instance_id, idle in list(self._idle.items()):
                kept = []
                for link in idle:
                    idle_ms = now_ms - link.idle_since_ms
                    fresh = idle_ms <= find_idle_close_ms(link.entry)
                    (kept if fresh and is_listed(link.entry) else surplus).append(link)
                self._idle[instance_id] = kept
        for link in surplus:
            self._discard(link)

    def count_open(self, instance_id: str) -> int:
        """Return how many links to the instance are open, including those in use."""
        return self._open.get(instance_id, 0)

    def count_idle(self) -> int:
        """Return how many links are idle."""
        return sum(len(idle) for idle in list(self._idle.values()))

    def _discard(self, link: InstanceLink) -> None:
        link.close()
        self._count_closed(link.entry.id)

    def _count_closed(self, instance_id: str) -> None:
        with self._lock:
            left = self._open.get(instance_id, 0) - 1
            if left > 0:
                self._open[instance_id] = left
            else:
                self._open.pop(instance_id, None)
