"""Checks what callers saw and what endpoints ran against the product's promises."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from bronzerelay.codes import CODES, NOT_RUN, RAN, UNKNOWN, Code
from standins.evidence import Effect, Evidence, get_change_name
from standins.rates import SECOND_MS, STATEMENT, RateLimit, check_rates
from standins.record import NO_ANSWER, Entry
from standins.violations import (
    BrokenRefusal,
    BrokenTransaction,
    DoubledWrite,
    FalseNotRun,
    ForeignAnswer,
    KeyLeaked,
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
    """A change that a caller requested: its requests, and the number of its effects."""

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
        *check_repeats(entries, evidence),
        *check_sessions(entries),
        *check_answers(entries),
        *check_refusals(entries),
        *check_transactions(entries, evidence),
        *check_rates(entries, limits, evidence),
    ]


# Writes


def check_writes(record: Iterable[Entry], evidence: Evidence) -> list[Violation]:
    """Return the changes that are lost, doubled, or took effect despite "not run"."""
    violations: list[Violation] = []
    for change in collect_changes(record, evidence):
        last = change.entries[-1]
        acknowledged = [entry for entry in change.entries if entry.ran == RAN]
        if acknowledged and change.effects == 0:
            request_id = acknowledged[0].request_id
            violations.append(LostWrite(request_id, change.name, last.group))
        if change.effects > 1:
            details = (last.request_id, change.name, last.group, change.effects)
            violations.append(DoubledWrite(*details))
        refused = all(entry.ran == NOT_RUN for entry in change.entries)
        if refused and change.effects:
            details = (last.request_id, change.name, last.group, last.code)
            violations.append(FalseNotRun(*details))
    return violations


def collect_changes(record: Iterable[Entry], evidence: Evidence) -> list[Change]:
    """Return the changes outside transactions, with how often each took effect.

    An append is counted both by its name in the log and by its unique value, so that
    one that a daemon sent again under another name is found too. A change with neither
    a name nor a unique value can't be counted and is left out.
    """
    by_name, by_append = count_effects(evidence.effects)
    changes: dict[tuple[str, str], list[Entry]] = defaultdict(list)
    for entry in record:
        if entry.is_write and not entry.transaction and entry.action == STATEMENT:
            name = get_change_name(entry) or entry.request_id
            changes[(entry.group, name)].append(entry)
    collected = []
    for (group, name), entries in changes.items():
        counts = []
        if entries[0].idempotency_key:
            counts.append(by_name[(group, name)])
        if is_append(entries[0]):
            counts.append(by_append[make_append_key(entries[0])])
        if counts:
            collected.append(Change(name, entries, max(counts)))
    return collected


def count_effects(effects: Iterable[Effect]) -> tuple[dict, dict]:
    """Return how often each change, and each append of a value, took effect."""
    by_name: dict[tuple[str, str], int] = defaultdict(int)
    by_append: dict[tuple[str, str, str], int] = defaultdict(int)
    for effect in effects:
        by_name[(effect.group, effect.change)] += 1
        for row, values in effect.added.items():
            for value in values:
                by_append[(effect.group, row, repr(value))] += 1
    return by_name, by_append


def check_repeats(record: Iterable[Entry], evidence: Evidence) -> list[Violation]:
    """Return the requests that were repeated although that was not allowed.

    If a request ran at a primary that was then replaced, and again at the next one, the
    group's log may hold only one of its effects. The executions show both.
    """
    executions = defaultdict(list)
    for execution in evidence.executions:
        if execution.op == "write":
            executions[(execution.group, execution.change)].append(execution)
    violations: list[Violation] = []
    for entry in record:
        change = get_change_name(entry)
        if entry.repeatable or not entry.is_write or not change:
            continue
        own = executions[(entry.group, change)]
        ran = tuple(execution.instance for execution in own if execution.outcome == RAN)
        if len(ran) > 1:
            violations.append(RanTwice(entry.request_id, change, ran))
        ids = tuple(sorted({execution.endpoint_id for execution in own}))
        if len(ids) > 1:
            violations.append(SentAgain(entry.request_id, change, ids))
    return violations


# Sessions


def check_sessions(record: Iterable[Entry]) -> list[StaleRead]:
    """Return the reads that lack what their session had written or read before.

    Only rows that just grow in the run, by `append` and `add`, are checked. Statements
    in transactions are left out: they may see changes that are never committed.
    """
    entries = sorted(record, key=lambda entry: entry.sent_ms)
    entries = [
        entry
        for entry in entries
        if entry.action == STATEMENT and not entry.transaction
    ]
    unchecked_rows = {
        (entry.group, entry.statement["row"])
        for entry in entries
        if entry.statement["verb"] in ("put", "delete")
    }
    last_values: dict[tuple[str, str, str], Any] = {}
    violations = []
    for entry in entries:
        row = entry.statement["row"]
        if entry.ran != RAN or (entry.group, row) in unchecked_rows:
            continue
        key = (entry.caller, entry.group, row)
        missing = find_missing(last_values.get(key), entry.value)
        if missing:
            details = (entry.caller, row, missing, entry.served_by)
            violations.append(StaleRead(entry.request_id, *details))
        else:
            last_values[key] = entry.value
    return violations


def find_missing(known: Any, value: Any) -> tuple[str, ...]:
    """Return what a value lacks of the value that the session saw last."""
    if isinstance(known, list):
        present = {repr(item) for item in value} if isinstance(value, list) else set()
        return tuple(repr(item) for item in known if repr(item) not in present)
    if isinstance(known, int | float):
        is_lower = not isinstance(value, int | float) or value < known
        return (f"{known} instead of {value}",) if is_lower else ()
    return ()


# Answers

# Refusals that a daemon sends on a connection before it has read a request from it. If
# a request is sent meanwhile, its caller takes the refusal for its answer. It rightly
# says that the request didn't run, but under a request id that no caller has sent.
CONNECTION_CODES = frozenset(
    {Code.CALLER_TOO_SLOW, Code.CONNECTION_LIMIT, Code.STOPPING}
)


def check_answers(record: Iterable[Entry]) -> list[ForeignAnswer]:
    """Return the answers that belong to another request.

    An answer must have its request's id, unless the connection was refused before the
    request was read. A list must contain the value that the request itself appended,
    and only values that some request appended to that row.
    """
    entries = list(record)
    request_ids = {entry.request_id for entry in entries}
    appended = defaultdict(set)
    for entry in entries:
        if entry.statement and entry.statement["verb"] == "append":
            key = (entry.group, entry.statement["row"])
            appended[key].add(repr(entry.statement["value"]))
    violations = []
    for entry in entries:
        foreign = find_foreign_request_id(entry, request_ids) or find_foreign_value(
            entry, appended
        )
        if foreign:
            violations.append(ForeignAnswer(entry.request_id, foreign))
    return violations


def find_foreign_request_id(entry: Entry, request_ids: set[str]) -> str:
    """Return a foreign request id in an answer, or an empty text if there is none."""
    if not entry.was_answered or entry.answered_id == entry.request_id:
        return ""
    unread = entry.code in CONNECTION_CODES and entry.ran == NOT_RUN
    if unread and entry.answered_id and entry.answered_id not in request_ids:
        return ""
    return f"request id {entry.answered_id!r}"


def find_foreign_value(
    entry: Entry, appended: Mapping[tuple[str, str], set[str]]
) -> str:
    """Return what in an answer's value is foreign, or an empty text if nothing is."""
    if entry.ran != RAN or entry.action != STATEMENT:
        return ""
    statement = entry.statement
    values = entry.value if isinstance(entry.value, list) else []
    if statement["verb"] == "append" and statement["value"] not in values:
        return f"a list without its own {statement['value']!r}"
    own = appended.get((entry.group, statement["row"]))
    foreign = [value for value in values if own is not None and repr(value) not in own]
    return f"values {foreign} that nobody appended" if foreign else ""


def check_all_answered(
    record: Iterable[Entry], killed: Iterable[str] = ()
) -> list[Unanswered]:
    """Return the requests without an answer, except from daemons that were `killed`."""
    killed = set(killed)
    return [
        Unanswered(entry.request_id, entry.daemon, entry.message)
        for entry in record
        if entry.code == NO_ANSWER and entry.daemon not in killed
    ]


# Refusals


def check_refusals(record: Iterable[Entry]) -> list[BrokenRefusal]:
    """Return the faults of all refusals, one violation for each fault."""
    return [
        BrokenRefusal(entry.request_id, entry.code, what)
        for entry in record
        if entry.was_answered and entry.code != Code.OK
        for what in list_faults(entry)
    ]


def list_faults(entry: Entry) -> list[str]:
    """Return descriptions of the faults of one refusal."""
    if entry.code not in Code.__members__.values():
        return [f"status {entry.status} with a body of fields {list(entry.fields)}"]
    faults = []
    code = CODES[Code(entry.code)]
    missing = REFUSAL_FIELDS - set(entry.fields)
    if missing:
        faults.append(f"lacks {', '.join(sorted(missing))}")
    if entry.status != code.status:
        faults.append(f"status {entry.status} instead of {code.status}")
    # Where the table says "unknown", a daemon may know that the request didn't run.
    is_known_not_run = code.ran == UNKNOWN and entry.ran == NOT_RUN
    if entry.ran != code.ran and not is_known_not_run:
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
    """Return the transactions that were not applied as a whole, once and unmixed.

    Their appends have unique values. After an acknowledged commit, one log entry must
    hold all of these values and no others; without a commit, no entry may hold any.
    """
    by_name: dict[str, list[Entry]] = defaultdict(list)
    for entry in record:
        if entry.transaction:
            by_name[entry.transaction].append(entry)
    violations = []
    for name, entries in by_name.items():
        fault = find_transaction_fault(entries, evidence.effects)
        if fault:
            violations.append(BrokenTransaction(name, fault))
    return violations


def find_transaction_fault(entries: list[Entry], effects: Iterable[Effect]) -> str:
    """Return a description of one transaction's fault, or an empty text."""
    appends = [entry for entry in entries if is_append(entry) and entry.ran == RAN]
    expected = {make_append_key(entry) for entry in appends}
    holding = [effect for effect in effects if expected & list_append_keys(effect)]
    commits = [entry for entry in entries if entry.action == "commit"]
    if len(holding) > 1:
        return f"its changes stand in {len(holding)} entries of the log"
    if any(entry.ran == RAN for entry in commits) and expected and not holding:
        return "its commit was acknowledged, and its changes are not there"
    if holding and all(entry.ran == NOT_RUN for entry in commits):
        return "it was not committed, and its changes are there"
    if not holding:
        return ""
    present = list_append_keys(holding[0])
    # The entry may or may not hold appends whose outcome is unknown.
    allowed = {make_append_key(entry) for entry in entries if is_append(entry)}
    if not expected <= present:
        return f"lacks {sorted(expected - present)}"
    if not present <= allowed:
        return f"holds {sorted(present - allowed)} of somebody else"
    return ""


def is_append(entry: Entry) -> bool:
    """Return whether a request appends to a list."""
    return entry.statement is not None and entry.statement["verb"] == "append"


def make_append_key(entry: Entry) -> tuple[str, str, str]:
    """Return group, row and value of an append, which identify it."""
    statement = entry.statement
    return (entry.group, statement["row"], repr(statement["value"]))


def list_append_keys(effect: Effect) -> set[tuple[str, str, str]]:
    """Return group, row and value of everything that an effect appended."""
    return {
        (effect.group, row, repr(value))
        for row, values in effect.added.items()
        for value in values
    }


# Keys


def check_keys(keys: Mapping[str, str], places: Mapping[str, bytes]) -> list[KeyLeaked]:
    """Return the places that contain a workspace's key.

    `places` holds the contents of logs, metrics, answers and what endpoints received,
    each under a name.
    """
    return [
        KeyLeaked(workspace, place)
        for place, data in places.items()
        for workspace, key in keys.items()
        if key.encode() in data
    ]
