"""Builders of callers whose texts look like parts of the line protocol."""

from typing import NamedTuple

from bronzerelay.runtime import Runtime
from standins.linecaller import LineCaller, LineReply
from standins.linegroup import LineGroup

PROTOCOL_WORDS = (
    "FETCH STORE EXECUTE PARSE SET COMMIT BEGIN DISCARD QUERY WAITLSN 1.1 -"
)
NAMES = "q1 q2 r_q1 w_q1 p1 p2 p3 a:b a/b {} %0d%0a é ' \" \\"
CONTROL_CHARACTERS = ("\t", "\x00", "\x85", "\u2028")
WORDS = (*PROTOCOL_WORDS.split(), *NAMES.split(), *CONTROL_CHARACTERS)


class Sent(NamedTuple):
    """What a caller sent, and what an instance should have run for it."""

    statement_id: str
    text: str
    # The prepared statement that the text executes, with its kind; empty if none.
    shape: str
    values: tuple[tuple[str, str], ...]
    # Tells the caller's transactions apart; empty outside of one.
    transaction: str


class TextCaller:
    """One session that sends random texts and keeps what should have run."""

    def __init__(self, caller: LineCaller, name: str, runtime: Runtime):
        self._caller = caller
        self._name = name
        self._rng = runtime.random
        self._count = 0
        self._values: dict[str, str] = {}
        self._shapes: dict[str, str] = {}
        self._transaction = ""
        self.sent: list[Sent] = []
        self.refused: list[str] = []

    def _make_phrase(self, longest: int) -> str:
        words = self._rng.choices(WORDS, k=self._rng.randint(1, longest))
        return " ".join(words)

    def _query(self, text: str) -> LineReply:
        self._count += 1
        self._caller.send(f"QUERY {self._name}n{self._count} {text}")
        return self._caller.read_reply()

    def prepare(self) -> None:
        """Prepare a statement under a name that other callers use as well."""
        name = self._rng.choice(WORDS)
        shape = f"{self._rng.choice(('FETCH', 'STORE'))} {self._make_phrase(4)}"
        if not self._query(f"PARSE {name} {shape}").error:
            self._shapes[name] = shape

    def set_value(self) -> None:
        """Set a session value whose name other callers use as well."""
        name, value = self._rng.choice(WORDS), self._make_phrase(3)
        if not self._query(f"SET {name} {value}").error:
            self._values[name] = value

    def close_name(self) -> None:
        """Close a prepared statement."""
        name = self._make_phrase(2)
        if not self._query(f"CLOSE {name}").error:
            self._shapes.pop(name, None)

    def begin_or_end(self) -> None:
        """Begin a transaction, or end the one that is open."""
        if not self._transaction:
            if not self._query("BEGIN").error:
                self._transaction = f"{self._name}t{self._count}"
        elif self._rng.random() < 0.3:
            self._query("ROLLBACK")
            self._transaction = ""
        else:
            self._send("COMMIT", "")
            self._transaction = ""

    def run(self) -> None:
        """Send a read or a write, prepared or not."""
        item, data = self._rng.choice(WORDS), self._make_phrase(3)
        name = self._rng.choice([*self._shapes, "", ""])
        if not name:
            text = self._rng.choice((f"FETCH {item}", f"STORE {item} {data}"))
            self._send(text, "")
            return
        shape = self._shapes[name]
        has_data = shape.startswith("STORE") or self._rng.random() < 0.3
        arguments = f"{item} {data}" if has_data else item
        self._send(f"EXECUTE {name} {arguments}", shape)

    def _send(self, text: str, shape: str) -> None:
        reply = self._query(text)
        if reply.error:
            self.refused.append(f"{text!r}: {reply.error} {reply.text}")
            return
        values = tuple(sorted(self._values.items()))
        statement_id = f"{self._name}n{self._count}"
        self.sent.append(Sent(statement_id, text, shape, values, self._transaction))


def play(sessions: list[LineCaller], steps: int, seed: int) -> list[TextCaller]:
    """Have random sessions take steps, each as a caller; return the callers."""
    runtime = Runtime(task_limit=1, seed=seed)
    callers = [
        TextCaller(session, f"c{number}", runtime)
        for number, session in enumerate(sessions)
    ]
    for _ in range(steps):
        caller = runtime.random.choice(callers)
        actions = (
            caller.prepare,
            caller.set_value,
            caller.close_name,
            caller.begin_or_end,
            caller.run,
        )
        runtime.random.choices(actions, (4, 1, 1, 2, 8))[0]()
    runtime.close(0)
    return callers


def drop_name(text: str) -> str:
    """Return the text without the name of a prepared statement, which may change."""
    word, _, rest = text.partition(" ")
    return f"{word} {rest.partition(' ')[2]}" if word == "EXECUTE" else text


def list_differences(group: LineGroup, callers: list[TextCaller]) -> list[str]:
    """Return what instances have run otherwise than a caller has sent it."""
    sent = {one.statement_id: one for caller in callers for one in caller.sent}
    # The caller's transaction of each transaction at an instance.
    transactions = {0: ""}
    found = []
    for run in group.runs:
        wanted = sent.pop(run.statement_id, None)
        if wanted is None:
            found.append(f"{run} was sent by nobody, or ran twice")
            continue
        transaction = transactions.setdefault(run.transaction, wanted.transaction)
        text = drop_name(run.text)
        ran = Sent(run.statement_id, text, run.shape, run.values, transaction)
        if ran != wanted._replace(text=drop_name(wanted.text)):
            found.append(f"{wanted} ran as {ran}")
    if len(set(transactions.values())) < len(transactions):
        found.append(f"a transaction ran as several: {transactions}")
    return found + [f"{wanted} didn't run" for wanted in sent.values()]
