"""Tests of the checks: each one gets a record that breaks its promise."""

import pytest

from bronzerelay.codes import Code
from standins.checks import (
    check_all_answered,
    check_answers,
    check_keys,
    check_refusals,
    check_repeats,
    check_sessions,
    check_transactions,
    check_writes,
    run_checks,
)
from standins.evidence import read_executions, read_log
from standins.rates import RateLimit, check_rates, find_wrongful_refusals
from standins.record import NO_ANSWER
from standins.violations import (
    BrokenRefusal,
    BrokenTransaction,
    DoubledWrite,
    FalseNotRun,
    ForeignAnswer,
    KeyLeaked,
    LostWrite,
    RanTwice,
    RateExceeded,
    SentAgain,
    StaleRead,
    Unanswered,
)
from tests.record_builders import (
    GROUP,
    ROW,
    WORKSPACE,
    build_append,
    build_effect,
    build_entry,
    build_evidence,
    build_execution,
    build_refusal,
)

LIMIT = RateLimit(WORKSPACE, rate=10, burst=2)
NO_EVIDENCE = build_evidence()


def list_types_and_ids(violations):
    return [(type(one), one.request_id) for one in violations]


def test_a_correct_record_has_no_violations():
    record = [
        build_append("a", idempotency_key="k", repeatable=False, sent_ms=0),
        build_entry(request_id="r", value=["a"], sent_ms=5),
        build_refusal(Code.NO_PRIMARY, request_id="n", retry_after_ms=1200)._replace(
            sent_ms=9, retry_after_s="2"
        ),
    ]
    change = f"{WORKSPACE}/k"
    evidence = build_evidence(
        build_effect("a", change=change), executions=[build_execution(change)]
    )
    assert run_checks(record, evidence, [LIMIT]) == []


# Writes


def test_a_lost_acknowledged_write_is_found():
    """A primary acknowledges a change that no replica has, and dies. The caller was
    told that the change was made, but the group doesn't hold it.
    """
    found = check_writes([build_append("a")], NO_EVIDENCE)
    assert list_types_and_ids(found) == [(LostWrite, "a")]


@pytest.mark.parametrize("second", ["a", "other"])
def test_a_doubled_write_is_found(second):
    """A daemon sends a write again after its answer was lost, under the same name or
    another one, and the write takes effect twice.
    """
    effects = (build_effect("a"), build_effect("a", change=second, position=2))
    found = check_writes([build_append("a")], build_evidence(*effects))
    assert found == [DoubledWrite("a", "a", GROUP, 2)]


def test_a_number_added_twice_is_found():
    """A number is added twice under one idempotency key."""
    statement = {"verb": "add", "row": "cash", "amount": 1}
    entry = build_entry(statement=statement, idempotency_key="k", value=1)
    effect = build_effect("", change=f"{WORKSPACE}/k", added={"cash": []})
    found = check_writes([entry], build_evidence(effect, effect))
    assert list_types_and_ids(found) == [(DoubledWrite, "r1")]


def test_a_change_without_name_and_value_is_not_checked():
    statement = {"verb": "add", "row": "cash", "amount": 1}
    assert check_writes([build_entry(statement=statement)], NO_EVIDENCE) == []


def test_not_run_despite_an_effect_is_found():
    """A daemon gives up on a write and answers that it did not run, while an endpoint
    still runs it. The caller sends it again, and both take effect.
    """
    refused = build_refusal(Code.NO_PRIMARY)
    evidence = build_evidence(build_effect("r1"))
    assert list_types_and_ids(check_writes([refused], evidence)) == [
        (FalseNotRun, "r1")
    ]
    assert check_writes([refused], NO_EVIDENCE) == []


def test_an_unknown_outcome_allows_an_effect_or_none():
    unknown = build_refusal(Code.OUTCOME_UNKNOWN, idempotency_key="k")
    again = build_refusal(
        Code.IDEMPOTENCY_CONFLICT, idempotency_key="k", request_id="r2"
    )
    effect = build_effect("r1", change=f"{WORKSPACE}/k")
    for evidence in (NO_EVIDENCE, build_evidence(effect)):
        assert check_writes([unknown, again], evidence) == []


def test_a_request_that_ran_at_two_primaries_is_found():
    """A write that must not be repeated runs at a primary that is cut off, and the
    daemon sends it to the next primary. The group's log holds it only once, but it ran
    twice.
    """
    change = f"{WORKSPACE}/k"
    entry = build_append("a", repeatable=False, idempotency_key="k")
    first = build_execution(change)
    second = build_execution(change, instance="orders-2", endpoint_id="k#2")
    evidence = build_evidence(executions=[first, second])
    assert check_repeats([entry], evidence) == [
        RanTwice("a", change, ("orders-1", "orders-2")),
        SentAgain("a", change, (f"{change}#1", "k#2")),
    ]
    assert check_repeats([entry._replace(repeatable=True)], evidence) == []


# Sessions and answers


def test_a_read_behind_its_own_write_is_found():
    """A session writes a row and reads it through another daemon from a replica that
    lags. It gets the old value.
    """
    record = [build_append("a"), build_entry(value=None, sent_ms=5, request_id="r")]
    found = check_sessions(record)
    assert found == [StaleRead("r", "one", ROW, ("'a'",), "orders-1")]
    assert check_sessions([record[0], record[1]._replace(caller="two")]) == []


def test_a_read_behind_an_earlier_read_is_found():
    """Two reads of one session go to two replicas, and the second replica lags more.
    The session reads an older value after a newer one.
    """
    add = {"verb": "get", "row": "cash"}
    record = [
        build_entry(statement=add, value=5),
        build_entry(statement=add, value=4, sent_ms=5, request_id="r"),
    ]
    assert list_types_and_ids(check_sessions(record)) == [(StaleRead, "r")]


def test_answers_of_other_requests_are_found():
    """A late answer is taken for the answer to the next request, so that a caller reads
    the data of another.
    """
    crossed = build_entry(answered_id="other", request_id="a")
    unasked = build_append("b", value=["x", "b"])
    lacking = build_append("c", value=["b"], sent_ms=3)
    found = check_answers([crossed, unasked, lacking])
    assert list_types_and_ids(found) == [(ForeignAnswer, one) for one in "abc"]


def test_a_refused_connection_may_have_its_own_request_id():
    """A daemon that stops sends a refusal on its idle connections while a request is
    sent on one of them. The refusal has a request id of its own. The id of another
    request would mean that answers were mixed up.
    """
    stopping = build_refusal(Code.STOPPING, answered_id="own")
    assert check_answers([stopping]) == []
    other = build_refusal(Code.STOPPING, request_id="own", answered_id="own")
    assert list_types_and_ids(check_answers([stopping, other])) == [
        (ForeignAnswer, "r1")
    ]
    for changes in ({"ran": "unknown"}, {"answered_id": ""}):
        assert len(check_answers([stopping._replace(**changes)])) == 1
    limited = build_refusal(Code.RATE_EXCEEDED, answered_id="own")
    assert len(check_answers([limited])) == 1


def test_a_request_without_answer_is_found():
    """A daemon that was asked to stop ends before it has answered a request, and the
    caller sees a closed connection. That is a violation unless the daemon was killed.
    """
    cut = build_entry(code=NO_ANSWER, status=0, ran="unknown", message="closed")
    assert check_all_answered([cut]) == [Unanswered("r1", "vm-1", "closed")]
    assert check_all_answered([cut], killed=["vm-1"]) == []


# Refusals


@pytest.mark.parametrize(
    ("changes", "what"),
    [
        ({"fields": ("code", "ran")}, "lacks advice, message"),
        ({"status": 500}, "status 500 instead of 429"),
        ({"ran": "unknown"}, "says unknown where the table says not_run"),
        ({"message": ""}, "has no message"),
        ({"retry_after_ms": 1500, "retry_after_s": "1"}, "Retry-After is '1', not '2'"),
        ({"code": 42}, "a body of fields"),
    ],
)
def test_an_incomplete_or_contradictory_refusal_is_found(changes, what):
    """A refusal lacks a field or contradicts the table of codes, so that the caller
    doesn't know whether the request ran or when to retry it.
    """
    found = check_refusals([build_refusal(Code.RATE_EXCEEDED, **changes)])
    assert [type(one) for one in found] == [BrokenRefusal]
    assert what in found[0].what
    assert check_refusals([build_refusal(Code.RATE_EXCEEDED)]) == []


# Rates


def build_timed_appends(*times, duration_ms=1):
    return [
        build_append(
            f"r{number}",
            idempotency_key=f"k{number}",
            sent_ms=at,
            answered_ms=at + duration_ms,
        )
        for number, at in enumerate(times)
    ]


def build_executions(count, time_ms):
    return [
        build_execution(f"{WORKSPACE}/k{number}", time_ms=time_ms)
        for number in range(count)
    ]


def test_more_than_rate_and_burst_is_found():
    """Each of two daemons grants a workspace its whole burst, so that the workspace
    gets twice its share at the expense of the others.
    """
    found = check_rates(build_timed_appends(0, 0, 0, 0), [LIMIT], NO_EVIDENCE)
    assert [type(one) for one in found] == [RateExceeded] * 2
    assert check_rates(build_timed_appends(0, 0, 100, 200), [LIMIT], NO_EVIDENCE) == []


def test_an_excess_in_the_middle_of_a_run_is_found():
    sparse = [1000.0 * step for step in range(5)]
    found = check_rates(build_timed_appends(*sparse, 2000, 2000), [LIMIT], NO_EVIDENCE)
    assert len(found) == 1
    assert found[0].latest_ms == 2001


def test_delayed_answers_are_no_violation():
    """Four requests are answered together after a stall. They may have been admitted
    one after another, unless the endpoint's record shows that they all ran early.
    """
    record = build_timed_appends(0, 0, 0, 0, duration_ms=250)
    assert check_rates(record, [LIMIT], NO_EVIDENCE) == []
    evidence = build_evidence(executions=build_executions(4, time_ms=50))
    assert len(check_rates(record, [LIMIT], evidence)) == 2


def test_slow_requests_take_no_tokens_from_quick_ones():
    """Two requests are answered late, and two later ones are answered at once. This is
    within the limit if the slow ones were admitted last, when new tokens had accrued.
    """
    slow = build_timed_appends(0, 0, duration_ms=400)
    quick = [
        entry._replace(request_id=f"q{number}", idempotency_key=f"q{number}")
        for number, entry in enumerate(build_timed_appends(50, 50))
    ]
    assert check_rates(slow + quick, [LIMIT], NO_EVIDENCE) == []
    late = [entry._replace(answered_ms=100) for entry in slow]
    assert len(check_rates(late + quick, [LIMIT], NO_EVIDENCE)) == 1


def test_an_execution_without_an_answer_counts():
    """A daemon is killed before it has answered requests that the endpoint has run.
    They count as admitted, although no caller got an answer.
    """
    cut = [
        entry._replace(ran="unknown", code=NO_ANSWER)
        for entry in build_timed_appends(0, 0, 0)
    ]
    assert check_rates(cut, [LIMIT], NO_EVIDENCE) == []
    evidence = build_evidence(executions=build_executions(3, time_ms=0.5))
    assert len(check_rates(cut, [LIMIT], evidence)) == 1


def test_a_nameless_read_at_an_endpoint_is_no_admission():
    reads = build_evidence(executions=[build_execution("", op="read", time_ms=50)])
    record = [
        entry._replace(idempotency_key="")
        for entry in build_timed_appends(0, 0, 0, duration_ms=150)
    ]
    assert check_rates(record, [LIMIT], reads) == []


def test_a_lowered_rate_applies_from_its_time():
    lowered = LIMIT._replace(burst=1, rate=1, from_ms=1000)
    times = [0, 0, 100, 200, 1000, 2000]
    assert check_rates(build_timed_appends(*times), [LIMIT, lowered], NO_EVIDENCE) == []
    found = check_rates(
        build_timed_appends(*times, 1100), [LIMIT, lowered], NO_EVIDENCE
    )
    assert list_types_and_ids(found) == [(RateExceeded, "r6")]
    off = LIMIT._replace(burst=0, rate=0, from_ms=1000)
    assert len(check_rates(build_timed_appends(*times), [LIMIT, off], NO_EVIDENCE)) == 2


def test_only_refusals_within_the_rate_are_wrongful():
    """All callers of a workspace use one daemon, which holds only a part of the rate.
    They are refused although the workspace is within its rate.
    """
    refused = build_refusal(Code.RATE_EXCEEDED)
    record = build_timed_appends(0, 1) + [
        refused._replace(request_id="over", sent_ms=2),
        refused._replace(request_id="wrong", sent_ms=500),
    ]
    found = find_wrongful_refusals(record, [LIMIT])
    assert [entry.request_id for entry in found] == ["wrong"]


# Transactions


def build_transaction(ran="ran"):
    token = {"transaction": "t"}
    commit = build_entry(
        action="commit", statement=None, request_id="c", ran=ran, **token
    )
    return [build_append("a", **token), build_append("b", **token), commit]


@pytest.mark.parametrize(
    ("effects", "ran", "what"),
    [
        ([], "ran", "are not there"),
        ([["a"]], "ran", "lacks"),
        ([["a"], ["b"]], "ran", "stand in 2 entries"),
        ([["a", "b", "x"]], "ran", "of somebody else"),
        ([["a", "b"]], "not_run", "was not committed"),
    ],
)
def test_a_broken_transaction_is_found(effects, ran, what):
    """A daemon dies in the middle of a transaction, or gives a connection with an open
    transaction to another caller. Half of the transaction is applied, or it is mixed
    with foreign changes.
    """
    applied = [build_effect("c", added={ROW: tokens}) for tokens in effects]
    found = check_transactions(build_transaction(ran), build_evidence(*applied))
    assert [type(one) for one in found] == [BrokenTransaction]
    assert what in found[0].what


def test_an_atomic_transaction_is_no_violation():
    whole = build_evidence(build_effect("c", added={ROW: ["a", "b"]}))
    assert check_transactions(build_transaction(), whole) == []
    assert check_transactions(build_transaction("unknown"), whole) == []
    assert check_transactions(build_transaction("not_run"), NO_EVIDENCE) == []


# Keys and evidence


def test_a_key_in_what_endpoints_received_is_found():
    """A daemon forwards a caller's headers to the endpoints, so that the database's
    traffic contains the workspace's key.
    """
    places = {"orders-1": b'{"key": "secret"}', "the log": b"nothing"}
    assert check_keys({WORKSPACE: "secret"}, places) == [
        KeyLeaked(WORKSPACE, "orders-1")
    ]


def test_effects_are_read_from_a_log():
    log = [
        {"term": 1, "kind": "promote", "request_id": "", "changes": {}},
        {"term": 1, "kind": "write", "request_id": "a#1", "changes": {ROW: ["a"]}},
        {"term": 2, "kind": "cancel", "request_id": "x#1", "changes": {}},
        {"term": 2, "kind": "write", "request_id": "b#2", "changes": {ROW: ["a", "b"]}},
    ]
    assert read_log(GROUP, log) == [
        build_effect("a", position=2),
        build_effect("b", position=4, term=2),
    ]
    run = {"time_ms": 0.5, "op": "write", "workspace": WORKSPACE, "request_id": "a#1"}
    found = read_executions(GROUP, "orders-1", [{**run, "outcome": "ran"}])
    assert found == [build_execution("a")]
