"""Tests of the shares of a workspace's rate, and of loans between them."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzerelay.buckets import LOAN_LIFE_MS, Bucket, Share
from bronzerelay.codes import Code
from bronzerelay.holders import list_holders
from bronzerelay.shares import MAX_RETRY_AFTER_MS
from tests.fleet import (
    STEP_MS,
    WORKSPACE,
    Clock,
    Fate,
    Fleet,
    Member,
    ask_for,
    make_spec,
)

NAMES = ("vm-1", "vm-2", "vm-3", "vm-4", "vm-5")
NAME = st.sampled_from(NAMES)
DELAYS_MS = (0, 0, 0, 0, 10, 60, 150, 400)
BURSTS = (1, 2, 3, 5, 8, 20, 60)
RATES = (2, 10, 90)

STEP = st.one_of(
    st.tuples(st.just("spend"), NAME, st.sampled_from((1, 5, 40))),
    st.tuples(st.just("spend"), NAME, st.sampled_from((1, 5, 40))),
    st.tuples(st.just("wait"), st.sampled_from((1, 40, 40, 150, 201, 4000))),
    st.tuples(st.just("flood"), st.sampled_from((5, 40))),
    st.tuples(st.just("beat_all")),
    st.tuples(st.just("learn"), NAME),
    st.tuples(st.just("beat"), NAME, NAME),
    st.tuples(st.just("freeze"), NAME),
    st.tuples(st.just("thaw"), NAME),
    st.tuples(st.just("start"), NAME),
    st.tuples(st.just("add"), NAME),
    st.tuples(st.just("remove"), NAME),
    st.tuples(
        st.just("set_spec"),
        st.builds(make_spec, st.sampled_from(RATES), st.sampled_from(BURSTS)),
    ),
)


def open_fleet(count=3, rate=30, burst=30, seed=1):
    """Return a fleet with full buckets, whose members have confirmed all shares."""
    fleet = Fleet(NAMES[:count], make_spec(rate, burst), seed)
    fleet.beat_all()
    fleet.pass_time(LOAN_LIFE_MS + 1000 * burst / rate)
    return fleet


def run_step(fleet, step):
    kind, *fields = step
    if kind == "wait":
        fleet.pass_time(*fields)
    elif kind == "flood":
        for name in sorted(fleet.members):
            fleet.spend(name, *fields)
    elif kind == "freeze":
        fleet.frozen.update(fields)
    elif kind == "thaw":
        fleet.frozen.difference_update(fields)
    elif kind == "start":
        # Only VMs in the roster are restarted; `add` starts the others.
        if fields[0] in fleet.names:
            fleet.start(*fields)
    else:
        getattr(fleet, kind)(*fields)


def draw_fates(draw):
    def draw_fate():
        before_ms, after_ms = draw.choice(DELAYS_MS), draw.choice(DELAYS_MS)
        return Fate(before_ms, after_ms, draw.random() < 0.2)

    return draw_fate


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.lists(STEP, max_size=40),
    st.integers(1, 4),
    st.sampled_from(BURSTS),
    st.integers(0, 999),
)
def test_no_window_sees_more_than_rate_and_burst(steps, count, burst, seed):
    """Daemons freeze, restart, join and go while tokens are on loan, answers come late
    or never, and the rate changes. If tokens of before counted twice, a workspace
    would get more than it is due and the others would wait for it.
    """
    fleet = open_fleet(count, rate=90, burst=burst, seed=seed)
    fleet.fates = draw_fates(fleet.draw)
    for step in steps:
        run_step(fleet, step)
    fleet.fates = Fate
    for name in sorted(fleet.members):
        fleet.spend(name, 2 * burst + 5)
    assert fleet.find_excess() == 0


def test_all_daemons_together_give_the_burst_once_and_then_the_rate():
    fleet = open_fleet(rate=30, burst=30)
    assert sum(fleet.spend(name, 40) for name in NAMES[:3]) == 30
    spent = 0
    for _ in range(100):
        fleet.pass_time(STEP_MS)
        spent += sum(fleet.spend(name, 4) for name in NAMES[:3])
    # When every daemon is overloaded, some tokens expire unspent while on loan.
    assert 0.9 * 150 <= spent <= 150
    assert fleet.find_excess() == 0


def test_callers_of_one_daemon_get_the_whole_burst():
    fleet = open_fleet(rate=30, burst=30)
    assert fleet.spend("vm-2", 40) == 30


def test_a_refusal_says_when_to_retry():
    fleet = open_fleet(rate=30, burst=2)
    fleet.spend("vm-1", 4)
    refusal = fleet.members["vm-1"].shares.spend(WORKSPACE).error
    assert refusal.code == Code.RATE_EXCEEDED
    assert refusal.retry_after_ms > 0


@pytest.mark.parametrize("rate", [5e-324, 1e-300, 1e-18])
def test_a_refusal_at_a_tiny_rate_says_when_to_retry(rate):
    """Guards against a refusal that fails because its time is infinite."""
    fleet = open_fleet(count=1, rate=30, burst=1)
    fleet.set_spec(make_spec(rate, 1))
    fleet.learn("vm-1")
    fleet.spend("vm-1", 4)
    refusal = fleet.members["vm-1"].shares.spend(WORKSPACE).error
    assert refusal.code == Code.RATE_EXCEEDED
    assert refusal.retry_after_ms == MAX_RETRY_AFTER_MS


def test_a_daemon_without_a_roster_does_not_refuse_for_the_rate():
    """A daemon that has just started gets requests before it has a roster. A refusal
    with RATE_EXCEEDED would make callers slow down for no reason.
    """
    fleet = open_fleet()
    member = Member(fleet, "vm-9")
    member.take_config(1, make_spec(30, 30))
    assert member.shares.spend(WORKSPACE).error.code == Code.NO_CONFIGURATION


def test_an_exhausted_workspace_backs_off_from_borrowing():
    """A workspace sends far more than its rate. If each refused request asked every
    daemon for a loan, the load would multiply inside the fleet and slow down other
    workspaces.
    """
    fleet = open_fleet(rate=30, burst=30)
    calls = []
    fleet.fates = lambda: calls.append(1) or Fate()
    fleet.spend("vm-1", 30)
    calls.clear()
    fleet.spend("vm-1", 200)
    assert len(calls) <= 2


def test_a_loan_counts_against_the_lenders_burst_until_it_expires():
    """If the lender refilled the tokens of a loan that may still be spent, both could
    be spent at the same time.
    """
    clock = Clock()
    bucket = Bucket(clock.now_ms())
    bucket.set_share(Share(10.0, 10.0), clock.now_ms())
    clock.time_ms += 1000
    assert bucket.lend(ask_for(4.0), clock.now_ms())[0] == 4.0
    clock.time_ms += LOAN_LIFE_MS - 1
    assert bucket.available(clock.now_ms()) == 6.0
    clock.time_ms += 1000
    assert bucket.available(clock.now_ms()) == 10.0


def test_a_loan_whose_answer_was_delayed_has_expired():
    """The answer with a loan arrives after the loan has expired and its lender
    refilled.
    """
    fleet = open_fleet(count=2, rate=30, burst=30)
    fleet.spend("vm-1", 15)
    fleet.fates = lambda: Fate(after_ms=LOAN_LIFE_MS + 500)
    shares = fleet.members["vm-1"].shares
    account = shares._accounts[WORKSPACE]
    shares._borrower._borrow_from(account, "vm-2", 1.0)
    assert account.bucket.available(fleet.clock.now_ms()) <= 15


def test_a_restarted_daemon_waits_until_its_earlier_loans_have_expired():
    """A daemon lends its tokens and is restarted. The new process doesn't know the
    loans; if it filled up at once, the tokens could be spent twice.
    """
    fleet = open_fleet(count=2, rate=60, burst=20)
    fleet.members["vm-1"].shares.lend(ask_for(10))
    fleet.start("vm-1")
    fleet.beat_all()
    fleet.pass_time(LOAN_LIFE_MS - 1)
    bucket = fleet.members["vm-1"].shares._accounts[WORKSPACE].bucket
    assert bucket.available(fleet.clock.now_ms()) == 0
    assert not fleet.members["vm-1"].shares.are_ready()
    fleet.pass_time(1000)
    assert bucket.available(fleet.clock.now_ms()) == 10
    assert fleet.members["vm-1"].shares.are_ready()


def test_a_share_shrinks_at_once_and_grows_when_all_have_shrunk():
    """A VM joins before another daemon knows the new roster. If the new one took its
    share at once, all shares together would exceed the rate.
    """
    fleet = open_fleet(count=2, rate=30, burst=30)
    fleet.add("vm-3")
    fleet.learn("vm-1")
    for _ in range(5):
        for pair in (("vm-1", "vm-3"), ("vm-3", "vm-1")):
            fleet.beat(*pair)
        fleet.pass_time(1000)
    rates = [share_rate_of(fleet, name) for name in NAMES[:3]]
    assert rates == [10.0, 15.0, 0.0]
    fleet.beat_all()
    assert [share_rate_of(fleet, name) for name in NAMES[:3]] == [10.0, 10.0, 10.0]


def share_rate_of(fleet, name):
    return fleet.members[name].shares._accounts[WORKSPACE].bucket.share.rate


def test_no_share_grows_while_loans_from_a_larger_share_may_be_spent():
    """A daemon lends all of its burst, and then a VM joins. If the new one filled up
    before those loans expire, it and the borrower could spend the same tokens.
    """
    fleet = open_fleet(count=2, rate=60, burst=20)
    borrower = fleet.members["vm-2"].shares._accounts[WORKSPACE]
    fleet.members["vm-2"].shares._borrower._borrow_from(borrower, "vm-1", 1.0)
    fleet.members["vm-1"].shares.lend(ask_for(9))
    fleet.add("vm-3")
    fleet.beat_all()
    assert share_rate_of(fleet, "vm-3") == 0
    fleet.pass_time(LOAN_LIFE_MS)
    fleet.beat_all()
    assert share_rate_of(fleet, "vm-3") == 20


def test_shares_of_two_configuration_versions_never_exceed_the_whole():
    """A burst of 4 has two holders, one of 6 has three. While daemons use different
    configuration versions, their shares must not add up to more than the whole.
    """
    fleet = open_fleet(count=5, rate=30, burst=4)
    fleet.set_spec(make_spec(30, 6))
    old_holders = list_holders(make_spec(30, 4), list(NAMES))
    holders = list_holders(make_spec(30, 6), list(NAMES))
    assert (len(old_holders), len(holders)) == (2, 3)
    for name in reversed(holders):
        fleet.learn(name)
        assert sum(share_rate_of(fleet, member) for member in NAMES) <= 30
    fleet.beat_all()
    assert [share_rate_of(fleet, holder) for holder in holders] == [10.0] * 3


def test_a_workspace_that_is_added_again_keeps_its_loans():
    """An operator removes a workspace and adds it again at once. A new bucket without
    the loans would refill while they can still be spent.
    """
    fleet = open_fleet(count=2, rate=60, burst=20)
    shares = fleet.members["vm-1"].shares
    assert shares.lend(ask_for(8)).amount == 8
    shares.set_workspaces([])
    shares.set_workspaces([make_spec(60, 20)])
    fleet.pass_time(LOAN_LIFE_MS - 100)
    bucket = shares._accounts[WORKSPACE].bucket
    assert bucket.available(fleet.clock.now_ms()) <= 2


def test_a_stopping_daemon_lends_nothing_and_returns_when_its_loans_expire():
    fleet = open_fleet(count=2, rate=30, burst=30)
    shares = fleet.members["vm-1"].shares
    shares.lend(ask_for(3))
    assert shares.stop_lending() == fleet.clock.now_ms() + LOAN_LIFE_MS
    assert shares.lend(ask_for(3)).amount == 0


def test_a_lender_refills_the_tokens_of_a_loan_that_was_spent():
    """All callers use one daemon, which borrows its tokens. If spent loans counted
    against the lenders' burst until they expire, the lenders couldn't refill, and
    callers within their rate would be refused.
    """
    clock = Clock()
    bucket = Bucket(clock.now_ms())
    bucket.set_share(Share(100.0, 4.0), clock.now_ms())
    clock.time_ms += 1000
    bucket.lend(ask_for(4.0, number=1), clock.now_ms())
    clock.time_ms += 50
    assert bucket.available(clock.now_ms()) == 0
    bucket.lend(ask_for(0.0, number=2, held=1.0), clock.now_ms())
    clock.time_ms += 50
    assert bucket.available(clock.now_ms()) == 3.0
    clock.time_ms += 5000
    assert bucket.available(clock.now_ms()) == 4.0


def test_a_loan_request_that_was_overtaken_ends_no_loan():
    """A loan request is delayed, and the borrower gives it up and sends another. The
    late one reports that the borrower holds no tokens, which is no longer true.
    """
    clock = Clock()
    bucket = Bucket(clock.now_ms())
    bucket.set_share(Share(10.0, 4.0), clock.now_ms())
    clock.time_ms += 1000
    bucket.lend(ask_for(4.0, number=2), clock.now_ms())
    bucket.lend(ask_for(0.0, number=1), clock.now_ms())
    bucket.lend(ask_for(0.0, process="restarted", number=9), clock.now_ms())
    clock.time_ms += LOAN_LIFE_MS - 1
    assert bucket.available(clock.now_ms()) == 0
