"""The cached list of live members equals a newly computed one."""

from hypothesis import example, given
from hypothesis import strategies as st

from bronzerelay.membership import Membership, MembershipSettings
from bronzerelay.peerlink.ttypes import MemberView
from bronzerelay.runtime import Runtime

NAMES = ("vm-1", "vm-2", "vm-3", "vm-4")
SUSPECT_MS = 700

name = st.sampled_from(NAMES)
steps = st.one_of(
    st.tuples(st.just("pass"), st.integers(0, 900)),
    st.tuples(st.just("merge"), name, st.integers(0, 900), st.booleans()),
    st.tuples(st.just("unreachable"), name),
    st.tuples(st.just("clear"), name),
    st.tuples(st.just("roster"), st.sets(name)),
    st.tuples(st.just("pause"), st.integers(0, 2 * SUSPECT_MS)),
    st.tuples(st.just("stop")),
)


class HeldClock:
    def __init__(self):
        self.time_ms = 10_000.0

    def now_ms(self) -> float:
        return self.time_ms


def apply(membership: Membership, clock: HeldClock, step: tuple) -> None:
    kind, *rest = step
    if kind == "pass":
        clock.time_ms += rest[0]
    elif kind == "merge":
        age_ms, stopping = rest[1:]
        beat = int(clock.time_ms)
        view = MemberView(rest[0], beat, 0, 0, age_ms, age_ms, stopping)
        membership.merge_reply([view], clock.time_ms)
    elif kind == "pause":
        began_ms = clock.time_ms
        clock.time_ms += rest[0]
        membership.note_pause(began_ms, clock.time_ms)
    elif kind == "unreachable":
        membership.mark_unreachable(rest[0])
    elif kind == "clear":
        membership.clear_unreachable(rest[0])
    elif kind == "roster":
        members = [
            {"name": one, "address": "127.0.0.1:1", "failure_domain": "a"}
            for one in sorted(rest[0])
        ]
        epoch = membership.roster["epoch"] + 1
        membership.accept_roster({"epoch": epoch, "members": members})
    else:
        membership.note_stopping()


def judge_anew(membership: Membership) -> list[str]:
    alive = {one for one in membership.member_names() if membership.is_alive(one)}
    if membership.is_alive(membership.name):
        alive.add(membership.name)
    return sorted(alive)


@given(st.lists(steps, max_size=40))
@example([("pause", 1), ("merge", "vm-2", 701, False)])
@example(
    [
        ("merge", "vm-2", 10, False),
        ("pause", 1400),
        ("merge", "vm-2", 1399, False),
    ]
)
def test_the_kept_list_is_what_a_new_judgement_gives(sequence):
    """
    Members fall silent, come back, refuse connections, stop, and join or leave.
    Were the kept list behind any of it, a request would go to a dead daemon, or two
    daemons would both serve a group.
    """
    runtime = Runtime(task_limit=1)
    clock = runtime.clock = HeldClock()
    membership = Membership(runtime, MembershipSettings("vm-1", SUSPECT_MS))
    apply(membership, clock, ("roster", set(NAMES)))
    for step in sequence:
        apply(membership, clock, step)
        assert membership.alive_names() == judge_anew(membership)


def test_the_list_stays_the_same_object_while_nothing_changes():
    runtime = Runtime(task_limit=1)
    clock = runtime.clock = HeldClock()
    membership = Membership(runtime, MembershipSettings("vm-1", SUSPECT_MS))
    apply(membership, clock, ("roster", set(NAMES)))
    apply(membership, clock, ("merge", "vm-2", 0, False))
    kept = membership.alive_names()
    for _ in range(10):
        apply(membership, clock, ("pass", 300))
        apply(membership, clock, ("merge", "vm-2", 0, False))
        assert membership.alive_names() is kept
