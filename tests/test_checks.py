"""Tests of the checks: each is given a record that breaks its promise."""

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


def name_kinds(violations):
    return [(type(one), one.request_id) for one in violations]


def test_a_whole_record_breaks_nothing():
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


def test_an_acknowledged_write_that_is_gone_is_found():
    """A primary acknowledges a change that no replica has, and dies. The school was
    told that its headcount is in, and the kitchen never sees it.
    """
    found = check_writes([build_append("a")], NO_EVIDENCE)
    assert name_kinds(found) == [(LostWrite, "a")]


@pytest.mark.parametrize("second", ["a", "other"])
def test_a_doubled_write_is_found(second):
    """A proxy sends a write again after its answer was lost, under the same name or
    another. Forty lunches come twice.
    """
    effects = (build_effect("a"), build_effect("a", change=second, position=2))
    found = check_writes([build_append("a")], build_evidence(*effects))
    assert found == [DoubledWrite("a", "a", GROUP, 2)]


def test_a_number_added_twice_is_found():
    """A refund is added twice under one idempotency key: the till pays out twice."""
    statement = {"verb": "add", "row": "cash", "amount": 1}
    entry = build_entry(statement=statement, idempotency_key="k", value=1)
    effect = build_effect("", change=f"{WORKSPACE}/k", added={"cash": []})
    found = check_writes([entry], build_evidence(effect, effect))
    assert name_kinds(found) == [(DoubledWrite, "r1")]


def test_a_change_without_name_and_value_is_not_judged():
    statement = {"verb": "add", "row": "cash", "amount": 1}
    assert check_writes([build_entry(statement=statement)], NO_EVIDENCE) == []


def test_not_run_against_an_effect_is_found():
    """A daemon gives up on a write and says that it did not run, while an endpoint
    still runs it. The caller orders again, and gets both.
    """
    refused = build_refusal(Code.NO_PRIMARY)
    evidence = build_evidence(build_effect("r1"))
    assert name_kinds(check_writes([refused], evidence)) == [(FalseNotRun, "r1")]
    assert check_writes([refused], NO_EVIDENCE) == []


def test_an_unknown_outcome_allows_either():
    unknown = build_refusal(Code.OUTCOME_UNKNOWN, idempotency_key="k")
    again = build_refusal(
        Code.IDEMPOTENCY_CONFLICT, idempotency_key="k", request_id="r2"
    )
    effect = build_effect("r1", change=f"{WORKSPACE}/k")
    for evidence in (NO_EVIDENCE, build_evidence(effect)):
        assert check_writes([unknown, again], evidence) == []


def test_a_request_that_ran_at_two_primaries_is_found():
    """A write that may not be repeated runs at a primary that is cut off, and the
    proxy sends it to the next one. Only one effect is kept, but the shop's own
    trigger at the old one fired, too.
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
    """A parent edits an allergy and looks at it through another proxy, whose replica
    lags. The old diet is shown.
    """
    record = [build_append("a"), build_entry(value=None, sent_ms=5, request_id="r")]
    found = check_sessions(record)
    assert found == [StaleRead("r", "one", ROW, ("'a'",), "orders-1")]
    assert check_sessions([record[0], record[1]._replace(caller="two")]) == []


def test_a_read_behind_an_earlier_read_is_found():
    """Two reads of one session go to two replicas, and the second is further behind:
    what the shop has just seen is gone again.
    """
    add = {"verb": "get", "row": "cash"}
    record = [
        build_entry(statement=add, value=5),
        build_entry(statement=add, value=4, sent_ms=5, request_id="r"),
    ]
    assert name_kinds(check_sessions(record)) == [(StaleRead, "r")]


def test_answers_of_others_are_found():
    """An answer that comes late is taken for the next one's, and a till is shown
    another customer's refund.
    """
    crossed = build_entry(answered_id="other", request_id="a")
    unasked = build_append("b", value=["x", "b"])
    lacking = build_append("c", value=["b"], sent_ms=3)
    found = check_answers([crossed, unasked, lacking])
    assert name_kinds(found) == [(ForeignAnswer, one) for one in "abc"]


def test_a_refused_connection_needs_no_request_id():
    """A proxy that stops tells its idle connections so, while a request is on its way
    on one of them. That refusal has an id of its own; another request's would mean
    that answers were mixed up.
    """
    stopping = build_refusal(Code.STOPPING, answered_id="own")
    assert check_answers([stopping]) == []
    other = build_refusal(Code.STOPPING, request_id="own", answered_id="own")
    assert name_kinds(check_answers([stopping, other])) == [(ForeignAnswer, "r1")]
    for changes in ({"ran": "unknown"}, {"answered_id": ""}):
        assert len(check_answers([stopping._replace(**changes)])) == 1
    limited = build_refusal(Code.RATE_EXCEEDED, answered_id="own")
    assert len(check_answers([limited])) == 1


def test_a_request_without_answer_is_found():
    """A proxy that is asked to stop ends with a request in its hands. The caller sees
    a closed connection; from one that was killed that is to be expected.
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
def test_a_refusal_that_says_too_little_is_found(changes, what):
    """A caller is refused without being told when to come back, or whether the
    request ran, and has to guess.
    """
    found = check_refusals([build_refusal(Code.RATE_EXCEEDED, **changes)])
    assert [type(one) for one in found] == [BrokenRefusal]
    assert what in found[0].what
    assert check_refusals([build_refusal(Code.RATE_EXCEEDED)]) == []


# Rates


def build_run(*times, lasting=1):
    return [
        build_append(
            f"r{number}",
            idempotency_key=f"k{number}",
            sent_ms=at,
            answered_ms=at + lasting,
        )
        for number, at in enumerate(times)
    ]


def build_executions(count, time_ms):
    return [
        build_execution(f"{WORKSPACE}/k{number}", time_ms=time_ms)
        for number in range(count)
    ]


def test_more_than_rate_and_burst_is_found():
    """Each of two proxies gives a workspace its whole burst. It gets twice what it
    paid for, and its rivals wait.
    """
    found = check_rates(build_run(0, 0, 0, 0), [LIMIT], NO_EVIDENCE)
    assert [type(one) for one in found] == [RateExceeded] * 2
    assert check_rates(build_run(0, 0, 100, 200), [LIMIT], NO_EVIDENCE) == []


def test_a_window_in_the_middle_is_found():
    quiet = [1000.0 * step for step in range(5)]
    found = check_rates(build_run(*quiet, 2000, 2000), [LIMIT], NO_EVIDENCE)
    assert len(found) == 1
    assert found[0].latest_ms == 2001


def test_requests_that_waited_are_no_finding():
    """Four requests are answered at once after a stall, having been admitted one
    after another before it. That is no breach, but what the endpoint ran early is.
    """
    record = build_run(0, 0, 0, 0, lasting=250)
    assert check_rates(record, [LIMIT], NO_EVIDENCE) == []
    evidence = build_evidence(executions=build_executions(4, time_ms=50))
    assert len(check_rates(record, [LIMIT], evidence)) == 2


def test_a_request_that_could_wait_takes_no_token_from_one_that_could_not():
    """Two requests are answered late, and two that came after them at once. One choice
    of times fits: the first two were admitted last, when new tokens had come.
    """
    slow = build_run(0, 0, lasting=400)
    quick = [
        entry._replace(request_id=f"q{number}", idempotency_key=f"q{number}")
        for number, entry in enumerate(build_run(50, 50))
    ]
    assert check_rates(slow + quick, [LIMIT], NO_EVIDENCE) == []
    late = [entry._replace(answered_ms=100) for entry in slow]
    assert len(check_rates(late + quick, [LIMIT], NO_EVIDENCE)) == 1


def test_what_ran_without_an_answer_counts():
    """A proxy is killed with requests in its hands that the endpoint has run. The
    workspace had its share, though no caller saw it.
    """
    cut = [
        entry._replace(ran="unknown", code=NO_ANSWER) for entry in build_run(0, 0, 0)
    ]
    assert check_rates(cut, [LIMIT], NO_EVIDENCE) == []
    evidence = build_evidence(executions=build_executions(3, time_ms=0.5))
    assert len(check_rates(cut, [LIMIT], evidence)) == 1


def test_a_read_at_an_endpoint_is_nobodys_admission():
    reads = build_evidence(executions=[build_execution("", op="read", time_ms=50)])
    record = [
        entry._replace(idempotency_key="") for entry in build_run(0, 0, 0, lasting=150)
    ]
    assert check_rates(record, [LIMIT], reads) == []


def test_a_lowered_rate_counts_from_its_time():
    lowered = LIMIT._replace(burst=1, rate=1, from_ms=1000)
    times = [0, 0, 100, 200, 1000, 2000]
    assert check_rates(build_run(*times), [LIMIT, lowered], NO_EVIDENCE) == []
    found = check_rates(build_run(*times, 1100), [LIMIT, lowered], NO_EVIDENCE)
    assert name_kinds(found) == [(RateExceeded, "r6")]
    off = LIMIT._replace(burst=0, rate=0, from_ms=1000)
    assert len(check_rates(build_run(*times), [LIMIT, off], NO_EVIDENCE)) == 2


def test_only_refusals_inside_the_rate_are_wrongful():
    """A workspace's callers all use one proxy, which has only its own part of the
    rate. Its till is refused though the workspace has hardly begun.
    """
    refused = build_refusal(Code.RATE_EXCEEDED)
    record = build_run(0, 1) + [
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
    """A proxy dies between the two halves of a transfer, or hands a connection with
    an open transaction to the next caller. Half of it is kept, or another's is.
    """
    kept = [build_effect("c", added={ROW: tokens}) for tokens in effects]
    found = check_transactions(build_transaction(ran), build_evidence(*kept))
    assert [type(one) for one in found] == [BrokenTransaction]
    assert what in found[0].what


def test_a_whole_transaction_is_no_finding():
    whole = build_evidence(build_effect("c", added={ROW: ["a", "b"]}))
    assert check_transactions(build_transaction(), whole) == []
    assert check_transactions(build_transaction("unknown"), whole) == []
    assert check_transactions(build_transaction("not_run"), NO_EVIDENCE) == []


# Keys and evidence


def test_a_key_in_what_endpoints_received_is_found():
    """A proxy passes a caller's headers on, and whoever reads the database's traffic
    has the workspace's key.
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
