"""Checks what callers saw and what endpoints ran against the promises."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from bronzerelay.codes import CODES, NOT_RUN, RAN, UNKNOWN, Code
from standins.evidence import Effect, Evidence, name_change
from standins.rates import SECOND_MS, STATEMENT, RateLimit, check_rates
from standins.record import NO_ANSWER, Entry
from standins.violations import (
    BrokenRefusal,
    BrokenTransaction,
    DoubledWrite,
    FalseNotRun,
    ForeignAnswer,
    KeySeen,
    LostWrite,
    RanTwice,
    SentAgain,
    StaleRead,
    Unanswered,
    Violation,
)

REFUSAL_FIELDS = frozenset(
    {"code", "name", "ran", "message", "advice", "request_id", "retry_after_ms"}
)


class Change(NamedTuple):
    """A change that a caller asked for: each time it was sent, and its effects."""

    name: str
    entries: list[Entry]
    effects: int


def run_checks(
    record: Iterable[Entry], evidence: Evidence, limits: Iterable[RateLimit] = ()
) -> list[Violation]:
    """Return every violation that the record and the evidence show."""
    entries = sorted(record, key=lambda entry: entry.sent_ms)
    return [
        *check_writes(entries, evidence),
        *check_once(entries, evidence),
        *check_sessions(entries),
        *check_answers(entries),
        *check_refusals(entries),
        *check_transactions(entries, evidence),
        *check_rates(entries, limits, evidence),
    ]


# Writes


def check_writes(record: Iterable[Entry], evidence: Evidence) -> list[Violation]:
    """Return the changes that are lost, doubled, or there against a "not run"."""
    found: list[Violation] = []
    for change in collect_changes(record, evidence):
        last = change.entries[-1]
        acknowledged = [entry for entry in change.entries if entry.ran == RAN]
        if acknowledged and change.effects == 0:
            request_id = acknowledged[0].request_id
            found.append(LostWrite(request_id, change.name, last.group))
        if change.effects > 1:
            doubled = (last.request_id, change.name, last.group, change.effects)
            found.append(DoubledWrite(*doubled))
        refused = all(entry.ran == NOT_RUN for entry in change.entries)
        if refused and change.effects:
            false = (last.request_id, change.name, last.group, last.code)
            found.append(FalseNotRun(*false))
    return found


def collect_changes(record: Iterable[Entry], evidence: Evidence) -> list[Change]:
    """Return the changes outside transactions, with how often each took effect.

    An append is counted twice over, by the name under which it stands in the log and
    by its unique value: a proxy that sent it again under another name shows too. What
    has neither a name nor a unique value can't be counted and is left out.
    """
    named, appended = count_effects(evidence.effects)
    changes: dict[tuple[str, str], list[Entry]] = defaultdict(list)
    for entry in record:
        if entry.is_write and not entry.transaction and entry.action == STATEMENT:
            name = name_change(entry) or entry.request_id
            changes[(entry.group, name)].append(entry)
    collected = []
    for (group, name), entries in changes.items():
        counts = []
        if entries[0].idempotency_key:
            counts.append(named[(group, name)])
        if is_append(entries[0]):
            counts.append(appended[make_token(entries[0])])
        if counts:
            collected.append(Change(name, entries, max(counts)))
    return collected


def count_effects(effects: Iterable[Effect]) -> tuple[dict, dict]:
    """Return how often each change, and each value of each list, took effect."""
    named: dict[tuple[str, str], int] = defaultdict(int)
    appended: dict[tuple[str, str, str], int] = defaultdict(int)
    for effect in effects:
        named[(effect.group, effect.change)] += 1
        for row, values in effect.added.items():
            for value in values:
                appended[(effect.group, row, repr(value))] += 1
    return named, appended


def check_once(record: Iterable[Entry], evidence: Evidence) -> list[Violation]:
    """Return the requests that may not be repeated and were.

    The log alone would not show one that ran at a primary which was then replaced and
    again at the next: what the instances were asked shows it.
    """
    executions = defaultdict(list)
    for execution in evidence.executions:
        if execution.op == "write":
            executions[(execution.group, execution.change)].append(execution)
    found: list[Violation] = []
    for entry in record:
        change = name_change(entry)
        if entry.repeatable or not entry.is_write or not change:
            continue
        own = executions[(entry.group, change)]
        ran = tuple(one.instance for one in own if one.outcome == RAN)
        if len(ran) > 1:
            found.append(RanTwice(entry.request_id, change, ran))
        ids = tuple(sorted({one.endpoint_id for one in own}))
        if len(ids) > 1:
            found.append(SentAgain(entry.request_id, change, ids))
    return found


# Sessions


def check_sessions(record: Iterable[Entry]) -> list[StaleRead]:
    """Return the reads that lack what their session had written or read before.

    Rows must only grow in the run, by `append` and `add`; the others are left out.
    A read within a transaction is left out, too: it may see what is not kept.
    """
    entries = sorted(record, key=lambda entry: entry.sent_ms)
    entries = [
        entry
        for entry in entries
        if entry.action == STATEMENT and not entry.transaction
    ]
    mixed = {
        (entry.group, entry.statement["row"])
        for entry in entries
        if entry.statement["verb"] in ("put", "delete")
    }
    seen: dict[tuple[str, str, str], Any] = {}
    found = []
    for entry in entries:
        row = entry.statement["row"]
        if entry.ran != RAN or (entry.group, row) in mixed:
            continue
        place = (entry.caller, entry.group, row)
        missing = find_missing(seen.get(place), entry.value)
        if missing:
            details = (entry.caller, row, missing, entry.served_by)
            found.append(StaleRead(entry.request_id, *details))
        else:
            seen[place] = entry.value
    return found


def find_missing(known: Any, value: Any) -> tuple[str, ...]:
    """Return what a value lacks of what the session knew; nothing when it is new."""
    if isinstance(known, list):
        have = {repr(one) for one in value} if isinstance(value, list) else set()
        return tuple(repr(one) for one in known if repr(one) not in have)
    if isinstance(known, int | float):
        low = not isinstance(value, int | float) or value < known
        return (f"{known} instead of {value}",) if low else ()
    return ()


# Answers

# What a daemon tells a connection before it has read a request from it. A request on
# its way crosses with that, and takes it for its answer: it was not read and didn't
# run, which is what the refusal says, under an id that no request has.
CONNECTION_CODES = frozenset(
    {Code.CALLER_TOO_SLOW, Code.CONNECTION_LIMIT, Code.STOPPING}
)


def check_answers(record: Iterable[Entry]) -> list[ForeignAnswer]:
    """Return the answers that belong to another request.

    An answer must carry its own request's id, unless the connection was refused before
    the request was read. A list must hold the value that the request itself appended,
    and only values that somebody appended to that row.
    """
    entries = list(record)
    request_ids = {entry.request_id for entry in entries}
    known = defaultdict(set)
    for entry in entries:
        if entry.statement and entry.statement["verb"] == "append":
            key = (entry.group, entry.statement["row"])
            known[key].add(repr(entry.statement["value"]))
    found = []
    for entry in entries:
        wrong = find_foreign_id(entry, request_ids) or find_foreign(entry, known)
        if wrong:
            found.append(ForeignAnswer(entry.request_id, wrong))
    return found


def find_foreign_id(entry: Entry, request_ids: set[str]) -> str:
    """Return the request id in an answer when it is another's, or an empty text."""
    if not entry.was_answered or entry.answered_id == entry.request_id:
        return ""
    unread = entry.code in CONNECTION_CODES and entry.ran == NOT_RUN
    if unread and entry.answered_id and entry.answered_id not in request_ids:
        return ""
    return f"request id {entry.answered_id!r}"


def find_foreign(entry: Entry, known: Mapping[tuple[str, str], set[str]]) -> str:
    """Return what in an answer is another's, or an empty text."""
    if entry.ran != RAN or entry.action != STATEMENT:
        return ""
    statement = entry.statement
    values = entry.value if isinstance(entry.value, list) else []
    if statement["verb"] == "append" and statement["value"] not in values:
        return f"a list without its own {statement['value']!r}"
    own = known.get((entry.group, statement["row"]))
    foreign = [one for one in values if own is not None and repr(one) not in own]
    return f"values {foreign} that nobody appended" if foreign else ""


def check_all_answered(
    record: Iterable[Entry], killed: Iterable[str] = ()
) -> list[Unanswered]:
    """Return the requests that got no answer, but for daemons that were `killed`."""
    killed = set(killed)
    return [
        Unanswered(entry.request_id, entry.daemon, entry.message)
        for entry in record
        if entry.code == NO_ANSWER and entry.daemon not in killed
    ]


# Refusals


def check_refusals(record: Iterable[Entry]) -> list[BrokenRefusal]:
    """Return what is wrong with refusals, one finding for each fault of each."""
    return [
        BrokenRefusal(entry.request_id, entry.code, what)
        for entry in record
        if entry.was_answered and entry.code != Code.OK
        for what in list_faults(entry)
    ]


def list_faults(entry: Entry) -> list[str]:
    """Return what is wrong with one refusal."""
    if entry.code not in Code.__members__.values():
        return [f"status {entry.status} with a body of fields {list(entry.fields)}"]
    faults = []
    code = CODES[Code(entry.code)]
    missing = REFUSAL_FIELDS - set(entry.fields)
    if missing:
        faults.append(f"lacks {', '.join(sorted(missing))}")
    if entry.status != code.status:
        faults.append(f"status {entry.status} instead of {code.status}")
    # A daemon may know more than a code that leaves it open, never less.
    sure = code.ran == UNKNOWN and entry.ran == NOT_RUN
    if entry.ran != code.ran and not sure:
        faults.append(f"says {entry.ran} where the table says {code.ran}")
    if not entry.message:
        faults.append("has no message")
    seconds = str(math.ceil(entry.retry_after_ms / SECOND_MS))
    expected = seconds if entry.retry_after_ms > 0 else ""
    if entry.retry_after_s != expected:
        faults.append(f"Retry-After is {entry.retry_after_s!r}, not {expected!r}")
    return faults


# Transactions


def check_transactions(
    record: Iterable[Entry], evidence: Evidence
) -> list[BrokenTransaction]:
    """Return the transactions that are not there whole, once, and by themselves.

    Their appends carry unique values. After an acknowledged commit all of them stand
    in one entry of the log, with nothing else; after none, nowhere.
    """
    by_name: dict[str, list[Entry]] = defaultdict(list)
    for entry in record:
        if entry.transaction:
            by_name[entry.transaction].append(entry)
    found = []
    for name, entries in by_name.items():
        what = judge_transaction(entries, evidence.effects)
        if what:
            found.append(BrokenTransaction(name, what))
    return found


def judge_transaction(entries: list[Entry], effects: Iterable[Effect]) -> str:
    """Return what is wrong with one transaction, or an empty text."""
    appends = [entry for entry in entries if is_append(entry) and entry.ran == RAN]
    expected = {make_token(entry) for entry in appends}
    holding = [effect for effect in effects if expected & list_tokens(effect)]
    commits = [entry for entry in entries if entry.action == "commit"]
    if len(holding) > 1:
        return f"its changes stand in {len(holding)} entries of the log"
    if any(entry.ran == RAN for entry in commits) and expected and not holding:
        return "its commit was acknowledged, and its changes are not there"
    if holding and all(entry.ran == NOT_RUN for entry in commits):
        return "it was not committed, and its changes are there"
    if not holding:
        return ""
    there = list_tokens(holding[0])
    # What was sent with an unknown outcome may be in it or not.
    allowed = {make_token(entry) for entry in entries if is_append(entry)}
    if not expected <= there:
        return f"lacks {sorted(expected - there)}"
    if not there <= allowed:
        return f"holds {sorted(there - allowed)} of somebody else"
    return ""


def is_append(entry: Entry) -> bool:
    """Return whether a request appends to a list."""
    return entry.statement is not None and entry.statement["verb"] == "append"


def make_token(entry: Entry) -> tuple[str, str, str]:
    """Return group, row and value of an append."""
    statement = entry.statement
    return (entry.group, statement["row"], repr(statement["value"]))


def list_tokens(effect: Effect) -> set[tuple[str, str, str]]:
    """Return group, row and value of all that an effect appended."""
    return {
        (effect.group, row, repr(value))
        for row, values in effect.added.items()
        for value in values
    }


# Keys


def check_keys(keys: Mapping[str, str], places: Mapping[str, bytes]) -> list[KeySeen]:
    """Return where a workspace's key stands; `places` holds bytes by their name.

    The places are what endpoints received, logs, metrics and answers.
    """
    return [
        KeySeen(workspace, place)
        for place, data in places.items()
        for workspace, key in keys.items()
        if key.encode() in data
    ]
