"""Who the other daemons are, and which of them are enough for a change."""

import msgspec
import pytest

from bronzerelay.pooler.contacts import Peer
from bronzerelay.pooler.gossip import PeerView
from bronzerelay.pooler.members import MEMBER_PREFIX, Member, Members
from bronzerelay.pooler.mirror import Item
from bronzerelay.runtime import Address
from standins.linegroup import LOCAL
from tests.builders_pooler import ManualClock, make_log, make_runtime

ADDRESS = Address(LOCAL, 1)
PEER = Peer(ADDRESS)


class FakeMirror:
    """The members' keys, each at its revision."""

    def __init__(self, revisions):
        self._revisions = revisions
        self.revision = max(revisions.values())
        self.removed = []

    def get(self, key):
        return next(item for item in self.list_prefix(key) if item.key == key)

    def compare_and_swap(self, expected, puts, removed):
        self.removed += removed

    def remove(self, name, revision):
        del self._revisions[name]
        self.revision = revision

    def list_prefix(self, prefix):
        return [
            Item(
                MEMBER_PREFIX + name,
                msgspec.json.encode(Member(name, str(ADDRESS))),
                revision,
            )
            for name, revision in self._revisions.items()
        ]


class FakeGossip:
    """What each peer was last heard to know of the store."""

    def __init__(self, store_revision):
        self.views = {}
        for name, revision in store_revision.items():
            self.views[name] = PeerView(name, PEER, 0.0)
            self.views[name].store_revision = revision
            self.views[name].knew_at = revision


def make_members(revisions, store_revision):
    runtime = make_runtime()
    members = Members(
        runtime,
        "d1",
        PEER,
        FakeMirror(revisions),
        FakeGossip(store_revision),
        make_log(runtime),
    )
    members.update()
    return members


class TestOutvoting:
    @pytest.mark.parametrize(("known", "enough"), [(2, False), (3, True)])
    def test_most_of_an_odd_number_are_enough(self, known, enough):
        names = [f"d{number}" for number in range(1, 6)]
        members = make_members(dict.fromkeys(names, 1), {})
        assert members.is_quorum(set(names[:known])) is enough

    def test_half_are_enough_where_the_others_know_the_same_list(self):
        # Daemons are split in halves, and the primary is on the side without the
        # store. Neither half may use it, and for as long as the split lasted the other
        # half didn't replace it either.
        members = make_members({"d1": 1, "d2": 2, "d3": 3, "d4": 4}, {"d3": 4, "d4": 9})
        assert members.is_quorum({"d1", "d2"})
        assert not members.is_quorum({"d1"})

    def test_half_are_too_few_where_somebody_joined_unheard_of(self):
        # Three daemons are two and one, and the one is joined by a new one while it is
        # cut off from the two. These are still most of the three that they know of, go
        # on using the primary, and would read and write beside its successor.
        members = make_members({"d1": 1, "d2": 2, "d3": 3, "d4": 8}, {"d2": 3, "d3": 3})
        assert not members.is_quorum({"d1", "d4"})

    def test_half_are_too_few_where_the_others_know_of_no_removal(self):
        # Guards against halves of a list that is shorter than the one by which the
        # other half, with the member that was removed, still has a majority.
        names = ["d1", "d2", "d3", "d4", "d5"]
        members = make_members(dict.fromkeys(names, 1), dict.fromkeys(names[1:], 5))
        assert members.is_quorum({"d1", "d2", "d3"})
        members._mirror.remove("d5", 8)
        members.update()
        assert not members.is_quorum({"d1", "d2"})

    def test_half_are_too_few_where_the_others_were_never_heard_of(self):
        members = make_members({"d1": 1, "d2": 2}, {})
        assert not members.is_quorum({"d1"})


OTHERS = ("d2", "d3", "d4", "d5", "d6")


class TestRemoving:
    """Five others are addressed, of which some have been silent."""

    def make(self, silent_ms, addressed=OTHERS, behind=(), relayed=()):
        clock = ManualClock()
        runtime = make_runtime(clock)
        gossip = FakeGossip({name: 2 if name in behind else 3 for name in OTHERS})
        for name, view in gossip.views.items():
            view.told_at_ms = clock.now_ms() - silent_ms.get(name, 100)
            if name in relayed:
                continue
            view.received_at_ms = view.told_at_ms
            view.addressed_since_ms = 0.0 if name in addressed else None
        mirror = FakeMirror(dict.fromkeys(["d1", *OTHERS], 3))
        members = Members(runtime, "d1", PEER, mirror, gossip, make_log(runtime))
        members.update()
        members.remove_silent()
        return mirror.removed

    def test_member_that_is_gone_for_good_is_off_the_list_after_seconds(self):
        # A VM is replaced without a word. As long as it is listed a part of each
        # workspace's rate is set aside for it: one caller of seven is refused beside a
        # flood, and a change of primary may wait for it.
        assert self.make({"d3": 6000}) == [MEMBER_PREFIX + "d3"]

    def test_member_that_was_frozen_for_a_moment_stays(self):
        assert self.make({"d3": 4000}) == []

    def test_who_hears_of_few_removes_nobody(self):
        # A daemon that is cut off itself would take all others off the list.
        assert self.make({"d2": 6000, "d3": 6000, "d4": 6000}) == []

    def test_minority_removes_nobody_while_the_others_fall_silent_one_by_one(self):
        # Guards against a minority that shrinks the list until it is most of it, and
        # replaces a primary that the majority still uses.
        assert self.make({"d2": 5100, "d3": 4900, "d4": 4900}) == []

    def test_nobody_else_is_removed_before_most_know_the_list(self):
        # Guards against removals one after another that a majority knows nothing of.
        assert self.make({"d2": 6000}, behind=("d3", "d4", "d5")) == []
        assert self.make({"d2": 6000}, behind=("d3",)) != []

    def test_members_behind_relays_count_only_if_they_know_the_list(self):
        # Guards against removals that the members behind relays know nothing of.
        far = ("d3", "d4", "d5", "d6")
        assert self.make({"d2": 6000}, relayed=far, behind=far) == []
        assert self.make({"d2": 6000}, relayed=far) == [MEMBER_PREFIX + "d2"]

    def test_member_that_isnt_addressed_isnt_judged(self):
        # Behind relays a daemon hears of most others through these alone.
        assert self.make({"d3": 6000}, addressed=("d2", "d4")) == []
