"""The member list: which members are a quorum, and which are removed."""

import msgspec
import pytest

from bronzerelay.pooler.contacts import Peer
from bronzerelay.pooler.gossip import PeerView
from bronzerelay.pooler.members import (
    CONFIRM_AFTER_MS,
    CONFIRM_STAGGER_MS,
    CONFIRMED_KEY,
    HALF_TIMEOUT_MS,
    LEAVE_RETRY_MS,
    MEMBER_PREFIX,
    ConfirmedList,
    Member,
    Members,
)
from bronzerelay.pooler.mirror import Item, StoreError, StoreItems
from bronzerelay.pooler.primaryguard import LEASE_MARGIN_MS, LEASE_MS
from bronzerelay.runtime import Address
from standins.linegroup import LOCAL
from tests.builders_heartbeats import HeartbeatFleet
from tests.builders_pooler import ManualClock, make_log, make_runtime

ADDRESS = Address(LOCAL, 1)
PEER = Peer(ADDRESS)


class FakeMirror:
    """The entries of the members, each at its store revision."""

    def __init__(self, revisions, confirmed=None):
        self._revisions = revisions
        self.revision = max(revisions.values())
        self.removed = []
        # What is recorded of the list.
        self.confirmed = None
        if confirmed is not None:
            self.confirm(confirmed, confirmed.revision + 1)

    def confirm(self, confirmed, revision):
        data = msgspec.json.encode(confirmed)
        self.confirmed = Item(CONFIRMED_KEY, data, revision)
        self.revision = max(self.revision, revision)

    def get(self, key):
        if key == CONFIRMED_KEY:
            return self.confirmed
        return next((item for item in self.list_prefix(key) if item.key == key), None)

    def compare_and_swap(self, expected, puts, removed):
        self.removed += removed
        if CONFIRMED_KEY in puts:
            assert expected[CONFIRMED_KEY] == getattr(self.confirmed, "revision", 0)
            self.revision += 1
            self.confirmed = Item(CONFIRMED_KEY, puts[CONFIRMED_KEY], self.revision)

    def remove(self, name, revision):
        del self._revisions[name]
        self.revision = revision

    def snapshot(self, prefix):
        return StoreItems(self.list_prefix(prefix), self.revision)

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
    """Views of peers, with the store revision last heard from each."""

    def __init__(self, store_revisions):
        self.views = {}
        for name, revision in store_revisions.items():
            self.views[name] = PeerView(name, PEER, 0.0)
            self.views[name].store_revision = revision
            self.views[name].known_revision = revision


def make_members(revisions, store_revisions, clock=None, confirmed=None):
    runtime = make_runtime(clock)
    members = Members(
        runtime,
        "d1",
        PEER,
        FakeMirror(revisions, confirmed),
        FakeGossip(store_revisions),
        make_log(runtime),
    )
    members.update()
    return members


def make_contacts(members):
    """Let all peers be contacts, as in a fleet without relays."""
    for view in members._gossip.views.values():
        view.contact_since_ms = 0.0


class TestQuorum:
    @pytest.mark.parametrize(("known", "enough"), [(2, False), (3, True)])
    def test_majority_of_an_odd_number_is_a_quorum(self, known, enough):
        names = [f"d{number}" for number in range(1, 6)]
        members = make_members(dict.fromkeys(names, 1), {})
        assert members.is_quorum(set(names[:known])) is enough

    def test_half_is_a_quorum_if_the_others_know_the_same_list(self):
        # Daemons are split in half, with the primary on the side without the store.
        # Neither half may use it. If half weren't a quorum, the other half couldn't
        # replace it for as long as the partition lasts.
        members = make_members({"d1": 1, "d2": 2, "d3": 3, "d4": 4}, {"d3": 4, "d4": 9})
        assert members.is_quorum({"d1", "d2"})
        assert not members.is_quorum({"d1"})

    def test_half_is_too_few_if_a_member_joined_unknown_to_the_others(self):
        # Of three daemons one is partitioned from the other two, and a fourth joins on
        # its side. The two are still a majority of the three that they know, so they go
        # on using the primary, also after its replacement.
        members = make_members({"d1": 1, "d2": 2, "d3": 3, "d4": 8}, {"d2": 3, "d3": 3})
        assert not members.is_quorum({"d1", "d4"})

    def test_half_is_too_few_if_the_others_dont_know_of_a_removal(self):
        # Guards against counting half of the shortened list as a quorum, while the
        # other half and the removed member are a majority of the earlier list.
        names = ["d1", "d2", "d3", "d4", "d5"]
        members = make_members(dict.fromkeys(names, 1), dict.fromkeys(names[1:], 5))
        assert members.is_quorum({"d1", "d2", "d3"})
        members._mirror.remove("d5", 8)
        members.update()
        assert not members.is_quorum({"d1", "d2"})

    def test_half_is_too_few_if_the_others_were_never_heard(self):
        members = make_members({"d1": 1, "d2": 2}, {})
        assert not members.is_quorum({"d1"})

    def test_majority_is_too_few_if_members_joined_unknown_to_the_others(self):
        # Of three daemons two are partitioned from the third, on whose side three more
        # join. The two are still a majority of the three that they know, so they go on
        # using the primary, also after its replacement.
        joined = dict.fromkeys(["d4", "d5", "d6"], 8)
        members = make_members(
            {"d1": 1, "d2": 2, "d3": 3, **joined}, {"d2": 3, "d3": 3, **joined}
        )
        make_contacts(members)
        assert not members.is_quorum({"d1", "d4", "d5", "d6"})

    def test_majority_is_too_few_if_the_others_were_never_heard(self):
        # The lock holder joins, with two more daemons, on the side of one of three
        # while the other two are partitioned from it. It has never heard these, and
        # they are still a majority of the three that they know.
        joined = dict.fromkeys(["d1", "d5", "d6"], 8)
        told = dict.fromkeys(["d2", "d5", "d6"], 8)
        members = make_members(
            {"d2": 2, "d3": 3, "d4": 4, **joined}, {**told, "d3": 0, "d4": 0}
        )
        make_contacts(members)
        assert not members.is_quorum({"d1", "d2", "d5", "d6"})

    def test_majority_of_a_list_on_the_way_is_too_few(self):
        # The daemons outside last told of a list of two, and may know a later one by
        # now, of which they are a majority.
        members = make_members(
            {"d1": 1, "d2": 2, "d3": 3, "d4": 8, "d5": 9}, {"d2": 2, "d3": 2}
        )
        make_contacts(members)
        assert not members.is_quorum({"d1", "d4", "d5"})

    def test_members_that_a_relay_has_heard_prevent_no_change(self):
        # Guards against services without a primary for as long as a failure domain has
        # no power, as most of the first members of the list are there.
        joined = {"d3": 1, "d4": 2, "d1": 3, "d2": 4, "d5": 5}
        members = make_members(joined, {"d2": 9, "d5": 9})
        assert not members.is_quorum({"d1", "d2", "d5"})
        members._gossip.views["d5"].known_by_all = 5
        assert members.is_quorum({"d1", "d2", "d5"})

    def test_member_that_joined_after_a_relay_told_counts_by_its_entry(self):
        # Guards against two of three members who go on with the primary, as they don't
        # know of the three that have joined since.
        joined = {"d1": 1, "d2": 2, "d3": 3, "d4": 8, "d5": 8, "d6": 8}
        members = make_members(joined, {"d4": 8, "d5": 8, "d6": 8})
        members._gossip.views["d4"].known_by_all = 3
        assert not members.is_quorum({"d1", "d4", "d5", "d6"})

    @pytest.mark.parametrize(
        ("members", "told", "obstacle"),
        [
            ({"d1"}, {"d2": 9, "d3": 9, "d4": 9}, "less than half"),
            ({"d1", "d2"}, {"d3": 8}, "the other half"),
            ({"d3", "d4"}, {}, "an earlier list"),
            ({"d1", "d2", "d3"}, {}, ""),
        ],
    )
    def test_why_there_is_no_quorum_is_told(self, members, told, obstacle):
        """Guards against a log that can't tell why no primary can be changed."""
        listed = make_members({"d1": 1, "d2": 2, "d3": 3, "d4": 9}, told)
        found = listed.explain_no_quorum(members)
        assert obstacle in found
        assert listed.is_quorum(members) is (found == "")

    def test_member_that_is_gone_for_good_prevents_no_change(self):
        # A daemon last told of a list of two and hasn't been heard since.
        joined = dict.fromkeys(["d3", "d4", "d5"], 8)
        members = make_members({"d1": 1, "d2": 2, **joined}, {"d2": 2, **joined})
        make_contacts(members)
        assert members.is_quorum({"d1", "d3", "d4", "d5"})


# Two members that joined first and are gone for good, and the two that are left.
LEFT_FIRST = {"d3": 1, "d4": 2, "d1": 3, "d2": 4}


class TestAfterRestart:
    """All daemons that are left have restarted, and have never heard the others."""

    @pytest.mark.parametrize(
        ("confirmed", "enough"),
        [
            (None, False),
            (ConfirmedList(4, 4), True),
            # The two that are gone may know a list of themselves alone.
            (ConfirmedList(2, 2), False),
            # They may know a list with a member that was removed since.
            (ConfirmedList(4, 5), False),
        ],
    )
    def test_half_that_is_gone_for_good_prevents_no_change(self, confirmed, enough):
        """Guards against services whose primary can't be changed any more."""
        members = make_members(LEFT_FIRST, {"d2": 9}, confirmed=confirmed)
        assert members.is_quorum({"d1", "d2"}) is enough

    def test_first_members_that_are_gone_prevent_no_change(self):
        """Guards against three replaced VMs that count as a majority of themselves."""
        joined = {"d2": 1, "d3": 2, "d4": 3, "d1": 4, "d5": 5, "d6": 6, "d7": 7}
        told = {"d5": 9, "d6": 9, "d7": 9}
        left = {"d1", *told}
        assert not make_members(joined, told).is_quorum(left)
        members = make_members(joined, told, confirmed=ConfirmedList(7, 7))
        assert members.is_quorum(left)

    def test_members_that_joined_unconfirmed_arent_counted_on(self):
        # Two of three daemons are partitioned from the third, on whose side three more
        # have joined since the list of three was confirmed.
        joined = {"d1": 1, "d2": 2, "d3": 3, "d4": 8, "d5": 8, "d6": 8}
        told = dict.fromkeys(["d4", "d5", "d6"], 9)
        members = make_members(joined, told, confirmed=ConfirmedList(3, 3))
        assert not members.is_quorum({"d1", *told})

    @pytest.mark.parametrize(
        "data", [b"", b"[4]", b'["4", 4]', b"[9, 4]", b"[true, 4]"]
    )
    def test_odd_record_says_nothing(self, data):
        """Guards against a quorum by what another writer put there."""
        members = make_members(LEFT_FIRST, {"d2": 9})
        members._mirror.confirmed = Item(CONFIRMED_KEY, data, 9)
        members._mirror.revision = 9
        members.update()
        assert not members.is_quorum({"d1", "d2"})

    def test_record_newer_than_the_list_isnt_used(self):
        # It may tell of a list that isn't known here.
        members = make_members(LEFT_FIRST, {"d2": 9})
        members._mirror.confirm(ConfirmedList(4, 4), 9)
        members._mirror.revision = 4
        members.update()
        assert not members.is_quorum({"d1", "d2"})


class TestConfirming:
    """Three members, of which one or all know the list as it is."""

    JOINED = {"d1": 1, "d2": 2, "d3": 3}

    def confirm(self, members, clock):
        """Let the daemon check for long enough that its turn comes."""
        end_ms = clock.now_ms() + CONFIRM_AFTER_MS + 3 * CONFIRM_STAGGER_MS
        while clock.now_ms() < end_ms:
            members._confirm()
            clock.sleep_ms(100)
        members.update()
        return members._confirmed

    def test_list_that_all_know_is_recorded_once(self):
        clock = ManualClock()
        members = make_members(self.JOINED, {"d2": 3, "d3": 3}, clock)
        assert self.confirm(members, clock) == ConfirmedList(3, 3)
        written = members._mirror.revision
        self.confirm(members, clock)
        assert members._mirror.revision == written

    def test_list_that_one_member_may_not_know_isnt_recorded(self):
        clock = ManualClock()
        members = make_members(self.JOINED, {"d2": 3, "d3": 2}, clock)
        assert self.confirm(members, clock) == ConfirmedList(0, 0)

    def test_shorter_list_is_recorded_once_all_know_it(self):
        clock = ManualClock()
        members = make_members(
            self.JOINED, {"d2": 3, "d3": 3}, clock, ConfirmedList(3, 3)
        )
        members._mirror.remove("d3", 8)
        members.update()
        del members._gossip.views["d3"]
        assert self.confirm(members, clock) == ConfirmedList(3, 3)
        members._gossip.views["d2"].known_revision = 8
        assert self.confirm(members, clock) == ConfirmedList(8, 2)


class TestOutsiders:
    """Guards against promoting an instance at once, since all members know of the
    change, while a daemon that isn't a member still uses the old primary.
    """

    @pytest.fixture
    def clock(self):
        return ManualClock()

    @pytest.fixture
    def members(self, clock):
        names = ["d1", "d2", "d3", "d4"]
        members = make_members(
            dict.fromkeys(names, 1), dict.fromkeys(names[1:], 5), clock
        )
        clock.sleep_ms(LEASE_MS + LEASE_MARGIN_MS + 1)
        members.update()
        return members

    def test_list_without_removals_has_none(self, members):
        assert not members.may_have_outsiders()

    def test_removals_before_the_first_reading_count(self, clock):
        members = make_members({"d1": 1, "d2": 1}, {"d2": 5}, clock)
        assert members.may_have_outsiders()

    def test_removed_member_may_have_a_proof_until_a_lease_after_all_know(
        self, members, clock
    ):
        members._mirror.remove("d4", 8)
        members.update()
        views = members._gossip.views
        for name, wait_ms in (("d2", 3000), ("d3", LEASE_MS)):
            clock.sleep_ms(wait_ms)
            members.update()
            assert members.may_have_outsiders()
            views[name].known_revision = 8
            members.update()
        clock.sleep_ms(LEASE_MS)
        assert members.may_have_outsiders()
        clock.sleep_ms(LEASE_MARGIN_MS + 1)
        assert not members.may_have_outsiders()

    def test_restarted_member_may_not_know_of_the_removal(self, members, clock):
        members._mirror.remove("d4", 8)
        for revision in (8, 5, 8):
            for name in ("d2", "d3"):
                members._gossip.views[name].known_revision = revision
            members.update()
            assert members.may_have_outsiders()
            clock.sleep_ms(LEASE_MS)

    @pytest.mark.parametrize("count", [8, 30])
    def test_every_daemon_knows_in_time_that_there_are_none(self, count):
        # Nobody was removed for long. A daemon behind relays that learned only as the
        # lock holder that all know it would prolong each change by a lease.
        fleet = HeartbeatFleet(count)
        lists = {
            name: Members(
                make_runtime(fleet.clock),
                name,
                daemon.peer,
                FakeMirror(dict.fromkeys(fleet.daemons, daemon.mirror.revision)),
                daemon.gossip,
                make_log(make_runtime(fleet.clock)),
            )
            for name, daemon in fleet.daemons.items()
        }

        def update():
            for members in lists.values():
                members.update()

        fleet.run(8000, update)
        waiting = [name for name in lists if lists[name].may_have_outsiders()]
        assert waiting == []

    def test_list_is_current_once_it_has_been_read_again(self, members):
        members._mirror.revision = 9
        assert not members.is_current(9)
        members.update()
        assert members.is_current(9)

    def test_daemon_is_listed_by_its_own_entry(self, members):
        assert members.is_listed()
        members._mirror.remove("d1", 8)
        assert not members.is_listed()

    def test_entry_newer_than_the_mirror_doesnt_count(self):
        # Guards against a proof from a load whose pages are no snapshot: a change that
        # is older than the entry may be missing.
        members = make_members({"d1": 9, "d2": 1}, {"d2": 5})
        members._mirror.revision = 7
        assert not members.is_listed()


class TestLeaving:
    """A daemon that stops takes itself off the list."""

    def make(self, answers):
        """Return the members, and the calls that the store answered or lost."""
        clock = ManualClock()
        members = make_members({"d1": 1, "d2": 2}, {"d2": 2}, clock)
        members._runtime.sleep_ms = clock.sleep_ms
        calls = []

        def compare_and_swap(expected, puts, removed, timeout_ms):
            calls.append((expected, puts, removed))
            clock.sleep_ms(timeout_ms)
            error = answers.pop(0) if answers else StoreError("silent", True)
            if error is not None:
                raise error
            return 3

        members._mirror.compare_and_swap = compare_and_swap
        return members, clock, calls

    def test_only_its_own_entry_is_removed(self):
        members, clock, calls = self.make([None])
        members.leave(clock.now_ms() + 2000)
        key = MEMBER_PREFIX + "d1"
        assert calls == [({key: 1}, {}, [key])]

    def test_lost_answer_is_followed_by_another_try(self):
        """Guards against a member that is listed for ever after one lost answer."""
        members, clock, calls = self.make([StoreError("lost", True), None])
        members.leave(clock.now_ms() + 10_000)
        assert len(calls) == 2

    def test_entry_that_a_lost_answer_removed_isnt_removed_again(self):
        members, clock, calls = self.make([StoreError("lost", True)])

        def learn(duration_ms):
            members._mirror.remove("d1", 3)
            clock.sleep_ms(duration_ms)

        members._runtime.sleep_ms = learn
        members.leave(clock.now_ms() + 10_000)
        assert len(calls) == 1

    def test_silent_store_doesnt_hold_up_the_end(self):
        """Guards against a stop that takes longer than the grace period."""
        members, clock, calls = self.make([])
        deadline_ms = clock.now_ms() + 2000
        members.leave(deadline_ms)
        assert calls
        assert clock.now_ms() <= deadline_ms + LEAVE_RETRY_MS


OTHERS = ("d2", "d3", "d4", "d5", "d6")


class TestRemoving:
    """Five other members are contacts, and some of them have been silent."""

    def make(self, silent_ms, contacts=OTHERS, behind=(), relayed=(), confirmed=None):
        clock = ManualClock()
        runtime = make_runtime(clock)
        gossip = FakeGossip({name: 2 if name in behind else 3 for name in OTHERS})
        for name, view in gossip.views.items():
            view.heard_up_to_ms = clock.now_ms() - silent_ms.get(name, 100)
            if name in relayed:
                continue
            view.received_at_ms = view.heard_up_to_ms
            view.contact_since_ms = 0.0 if name in contacts else None
        mirror = FakeMirror(dict.fromkeys(["d1", *OTHERS], 3), confirmed)
        members = Members(runtime, "d1", PEER, mirror, gossip, make_log(runtime))
        members.update()
        members.remove_silent()
        return mirror.removed

    def test_member_that_is_gone_is_removed_after_seconds(self):
        # A VM is replaced without notice. While it is listed, a share of each
        # workspace's rate is reserved for it, so that one caller of seven is refused
        # during a flood, and a primary change may wait for it.
        assert self.make({"d3": 6000}) == [MEMBER_PREFIX + "d3"]

    def test_member_that_was_frozen_for_a_moment_stays(self):
        assert self.make({"d3": 4000}) == []

    def test_majority_of_an_earlier_list_isnt_removed(self):
        # Guards against dropping two of three daemons that are partitioned from the
        # third, on whose side three more have joined. The two are a majority of the
        # list that they know; once they are off the list no change waits for them, and
        # they go on using the old primary.
        clock = ManualClock()
        runtime = make_runtime(clock)
        joined = dict.fromkeys(["d4", "d5", "d6"], 8)
        gossip = FakeGossip({"d2": 3, "d3": 3, **joined})
        for name, view in gossip.views.items():
            view.contact_since_ms = 0.0
            view.listed_at_ms = 0.0
            view.heard_up_to_ms = clock.now_ms() - (100 if name in joined else 6000)
            view.received_at_ms = view.heard_up_to_ms
        mirror = FakeMirror({"d1": 1, "d2": 2, "d3": 3, **joined})
        members = Members(runtime, "d1", PEER, mirror, gossip, make_log(runtime))
        members.update()
        assert not members.is_quorum({"d1", *joined})
        members.remove_silent()
        assert mirror.removed == []

    def test_daemon_that_hears_few_members_removes_none(self):
        # A daemon that is partitioned itself would remove all others.
        assert self.make({"d2": 6000, "d3": 6000, "d4": 6000}) == []

    def test_minority_removes_none_while_the_others_fall_silent_one_by_one(self):
        # Guards against a minority that shortens the list until it is the majority of
        # it, and replaces a primary that the former majority still uses.
        assert self.make({"d2": 5100, "d3": 4900, "d4": 4900}) == []

    @pytest.mark.parametrize(
        ("silent_ms", "removed"),
        [(HALF_TIMEOUT_MS - 1000, 0), (HALF_TIMEOUT_MS + 1, 1)],
    )
    def test_half_that_is_gone_is_removed_late(self, silent_ms, removed):
        """Guards against members that are gone for good and stay listed for ever."""
        silent = dict.fromkeys(["d2", "d3", "d4"], silent_ms)
        assert len(self.make(silent, confirmed=ConfirmedList(3, 6))) == removed

    def test_half_that_may_know_another_list_isnt_removed(self):
        """Guards against halves that both shorten the list until they are most."""
        silent = dict.fromkeys(["d2", "d3", "d4"], HALF_TIMEOUT_MS + 1)
        assert self.make(silent, behind=("d2",)) == []
        assert self.make({**silent, "d5": HALF_TIMEOUT_MS + 1}) == []

    def test_next_member_is_removed_once_most_know_the_list(self):
        # Guards against successive removals that a majority doesn't know of.
        assert self.make({"d2": 6000}, behind=("d3", "d4", "d5")) == []
        assert self.make({"d2": 6000}, behind=("d3",)) != []

    def test_members_behind_relays_count_only_if_they_know_the_list(self):
        # Guards against removals that the members behind relays don't know of.
        far = ("d3", "d4", "d5", "d6")
        assert self.make({"d2": 6000}, relayed=far, behind=far) == []
        assert self.make({"d2": 6000}, relayed=far) == [MEMBER_PREFIX + "d2"]

    def test_member_that_isnt_a_contact_isnt_removed(self):
        # A daemon behind relays hears most other members only through these.
        assert self.make({"d3": 6000}, contacts=("d2", "d4")) == []
