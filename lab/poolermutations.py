"""The pooler's mechanisms, each with what switches it off and the test that notices."""

from typing import NamedTuple


class Mutation(NamedTuple):
    """A mechanism, the text that switches it off, and the test that must notice."""

    mechanism: str
    file: str
    old: str
    new: str
    test: str


POOLER = "bronzerelay/pooler/"
PATH = "tests/test_pooler_path.py::"

POOLER_MUTATIONS = (
    Mutation(
        "a primary is used only with a proof that it leads",
        POOLER + "primaryguard.py",
        "if not self.has_proof():",
        "if False:",
        "tests/test_primaryguard.py::TestProof",
    ),
    Mutation(
        "half of the members are no proof",
        POOLER + "primaryguard.py",
        "needed = (len(times) + 1) // 2",
        "needed = len(times) // 2",
        "tests/test_primaryguard.py::TestProof",
    ),
    Mutation(
        "a heartbeat counts from when the one that it answers was sent",
        POOLER + "gossip.py",
        "return self._sent.get(number)",
        "return self._clock.now_ms()",
        "tests/test_gossip.py::TestProof",
    ),
    Mutation(
        "a change counts as known once nothing is under way at the old primary",
        POOLER + "heartbeats.py",
        "if record.settled or self._guard.is_idle(record.service)",
        "if True",
        "tests/test_heartbeats.py::TestAcknowledging",
    ),
    Mutation(
        "a change waits out the lease of daemons that aren't heard",
        POOLER + "primarychanges.py",
        "elif now_ms - quorum_since_ms > LEASE_MS + LEASE_MARGIN_MS:",
        "elif True:",
        "tests/test_primarychanges.py::TestSafety",
    ),
    Mutation(
        "the holder proves its duty anew before it promotes",
        POOLER + "primarychanges.py",
        "if self._clock.now_ms() - self._lock_verified_ms > LOCK_RECHECK_MS:",
        "if False:",
        "tests/test_primarychanges.py::TestSafety",
    ),
    Mutation(
        "the replica with most received is promoted",
        POOLER + "primarychanges.py",
        "return max(candidates, key=lambda pair: pair[1].received, default=None)",
        "return min(candidates, key=lambda pair: pair[1].received, default=None)",
        "tests/test_primarychanges.py::TestWhen",
    ),
    Mutation(
        "a leaving primary stays until a replica has its log",
        POOLER + "primarychanges.py",
        "return is_close or received > log_end",
        "return True",
        PATH + "TestPrimaryChanges",
    ),
    Mutation(
        "versions of the configuration never go back",
        POOLER + "directory.py",
        "if config.version <= known:",
        "if False:",
        "tests/test_directory.py::TestConfig",
    ),
    Mutation(
        "a deposed primary that lives on doesn't lead again",
        POOLER + "directory.py",
        "deposed = record is not None and entry.id == record.deposed",
        "deposed = False",
        "tests/test_directory.py::TestPrimaries",
    ),
    Mutation(
        "each operation is judged by the key's state now",
        POOLER + "session.py",
        "        admitted = self._admit()\n        if isinstance(admitted, Refusal):\n"
        "            self._fail_transaction(admitted)",
        "        admitted = None\n        if isinstance(admitted, Refusal):\n"
        "            self._fail_transaction(admitted)",
        PATH + "TestAdmission",
    ),
    Mutation(
        "a write whose answer is lost isn't sent again",
        POOLER + "runner.py",
        "may_repeat = answer.fault in NOT_RUN_FAULTS or not job.writes",
        "may_repeat = True",
        PATH + "TestInstances",
    ),
    Mutation(
        "a link with an open transaction isn't lent again",
        POOLER + "links.py",
        "if not link.usable or link.in_transaction:",
        "if not link.usable:",
        "tests/test_links.py",
    ),
    Mutation(
        "values of another session are wiped from a link",
        POOLER + "links.py",
        "surplus = any(name not in values for name in self._values)",
        "surplus = False",
        PATH + "TestSessions",
    ),
    Mutation(
        "a sample of the primary's log counts from when it was asked for",
        POOLER + "positions.py",
        "if sample.at_ms >= oldest_ms:",
        "if True:",
        "tests/test_placement.py::TestReadRequirement",
    ),
    Mutation(
        "what a silent daemon may spend is set aside",
        POOLER + "fleetrates.py",
        "return reachable / members",
        "return 1.0",
        "tests/test_fleetrates.py",
    ),
    Mutation(
        "what others admit leaves the bucket",
        POOLER + "fleetrates.py",
        "bucket.tokens = min(bucket.spec.burst, left)",
        "pass",
        "tests/test_fleetrates.py",
    ),
    Mutation(
        "lines that requests cause are bounded",
        POOLER + "events.py",
        "if self._tokens < 1:",
        "if False:",
        "tests/test_events.py",
    ),
    Mutation(
        "keys that a load lacks count as removed",
        POOLER + "mirror.py",
        "if self._items[key].revision <= revision:",
        "if False:",
        "tests/test_mirror.py",
    ),
    Mutation(
        "where callers ask for too much each daemon admits the same part",
        POOLER + "fleetrates.py",
        "bucket.credit += min(1.0, max(0.0, budget / expected))",
        "bucket.credit += 1.0",
        "tests/test_fleetrates.py",
    ),
    Mutation(
        "what a process spent before this one began isn't counted",
        POOLER + "fleetrates.py",
        "if base is None and reports.complete:",
        "if base is None:",
        "tests/test_fleetrates.py::TestReports",
    ),
    Mutation(
        "a report holds what changed since the last heartbeat that was got",
        POOLER + "gossip.py",
        "complete(beat, view, self._find_sent(view.echoed_number))\n"
        "            self._send",
        "complete(beat, view, self._find_sent(number - 1))\n            self._send",
        "tests/test_gossip.py::TestReports",
    ),
    Mutation(
        "the peers' word counts for a dead primary",
        POOLER + "primarychanges.py",
        "since_ms = self._fleet.silent_since_ms(primary.id)",
        "since_ms = []",
        "tests/test_primarychanges.py::TestWhen",
    ),
    Mutation(
        "a primary that lives on isn't replaced after a long cut",
        POOLER + "primarychanges.py",
        "survivor = self._find_surviving_primary(waited_ms)",
        "survivor = None",
        "tests/test_primarychanges.py::TestSafety",
    ),
    Mutation(
        "half of the members are too few where somebody joined unheard of",
        POOLER + "members.py",
        "view is not None and view.store_revision >= changed_revision",
        "True",
        "tests/test_members.py",
    ),
    Mutation(
        "samples of a former primary are forgotten",
        POOLER + "positions.py",
        "            self._samples.clear()\n            self.newest_own = None",
        "            pass",
        "tests/test_placement.py::TestReadRequirement",
    ),
    Mutation(
        "an own commit of a former primary holds up no read",
        POOLER + "placement.py",
        "reads_own and own_commit and not self._predates_primary(route, own_commit)",
        "reads_own and own_commit",
        "tests/test_placement.py::TestReadRequirement",
    ),
    Mutation(
        "the end of the last use of a primary is told",
        POOLER + "primaryguard.py",
        "        if idle:\n            self.on_idle(service)",
        "",
        "tests/test_primaryguard.py::TestIdle",
    ),
    Mutation(
        "a link that is being opened is no use of a primary",
        POOLER + "runner.py",
        "        if not as_primary:\n            return action()\n        refusal",
        "        refusal",
        PATH + "TestPrimaryChanges",
    ),
    Mutation(
        "the store is asked before the lease runs out",
        POOLER + "primaryguard.py",
        "return self._clock.now_ms() - self._member_proof_ms > STORE_PROOF_AFTER_MS",
        "return not self.has_proof()",
        "tests/test_primaryguard.py::TestStoreProofs",
    ),
    Mutation(
        "daemons share the slots of an instance",
        POOLER + "runner.py",
        "return min(slots, max(1, math.ceil(STATEMENTS_PER_SLOT * slots / daemons)))",
        "return slots",
        PATH + "TestManyDaemons",
    ),
    Mutation(
        "a busy primary is asked again on the same link",
        POOLER + "runner.py",
        "if not slot.as_primary or self._clock.now_ms() >= job.slot_deadline_ms:",
        "if True:",
        PATH + "TestManyDaemons",
    ),
    Mutation(
        "an operation that is due in a moment waits for it",
        POOLER + "fleetrates.py",
        "if due_ms > (0.0 if is_over_rate else max_wait_ms):",
        "if due_ms > 0:",
        "tests/test_fleetrates.py::TestInsideTheRate",
    ),
    Mutation(
        "a member that is gone is soon off the list",
        POOLER + "members.py",
        "MEMBER_TIMEOUT_MS = 5_000",
        "MEMBER_TIMEOUT_MS = 12_000",
        "tests/test_members.py::TestRemoving",
    ),
    Mutation(
        "a daemon that is cut off admits nothing",
        POOLER + "primaryguard.py",
        "if self.proof_age_ms() <= ISOLATED_AFTER_MS:",
        "if True:",
        PATH + "TestIsolation",
    ),
    Mutation(
        "a session that a cut-off daemon refuses ends",
        POOLER + "session.py",
        "return is_isolated and is_idle and not self._reader.has_line()",
        "return False",
        PATH + "TestIsolation",
    ),
    Mutation(
        "a proof is passed on with its age",
        POOLER + "heartbeats.py",
        "self._guard.add_peer_proof(proven_ms - beat.proof_age_ms)",
        "self._guard.add_peer_proof(proven_ms)",
        "tests/test_heartbeats.py::TestProof",
    ),
    Mutation(
        "a proof is passed on",
        POOLER + "heartbeats.py",
        "self._guard.add_peer_proof(proven_ms - beat.proof_age_ms)",
        "pass",
        "tests/test_heartbeats.py::TestProof",
    ),
    Mutation(
        "a heartbeat that leaves changes of primary out proves nothing",
        POOLER + "heartbeats.py",
        "if beat.store_revision <= 0 or not beat.has_all_records:",
        "if beat.store_revision <= 0:",
        "tests/test_heartbeats.py::TestAcknowledging",
    ),
    Mutation(
        "one relay at a time is believed",
        POOLER + "sources.py",
        "return self.current == peer",
        "return True",
        "tests/test_heartbeats.py::TestRelayedRates",
    ),
    Mutation(
        "large fleets exchange heartbeats through relays",
        POOLER + "contacts.py",
        "return len(self._peers) < MAX_MESH_SIZE",
        "return True",
        "tests/test_contacts.py::TestLargeFleet",
    ),
    Mutation(
        "daemons behind relays don't watch the store",
        POOLER + "mirror.py",
        "elif self._should_follow():",
        "elif False:",
        "tests/test_mirror.py::TestRelays",
    ),
    Mutation(
        "the store is polled when what is known of it gets old",
        POOLER + "freshness.py",
        "if self._time_to_poll_ms(turn) <= 0:",
        "if False:",
        PATH + "TestLostWatches",
    ),
    Mutation(
        "a watch that misses what a poll finds is sent anew",
        POOLER + "freshness.py",
        "self._mirror.restart_watch()",
        "pass",
        "tests/test_freshness.py::TestUpdates",
    ),
    Mutation(
        "daemons behind relays poll the store, too",
        POOLER + "heartbeats.py",
        "return Turn(self.contacts.find_place(), 2 * RELAY_LAG_MS)",
        "return Turn(0, 1e9)",
        PATH + "TestRelays",
    ),
    Mutation(
        "what a peer knows of the store is told with its age",
        POOLER + "heartbeats.py",
        "self._mirror.confirm_current("
        "beat.store_revision, proven_ms - beat.store_age_ms)",
        "self._mirror.confirm_current(beat.store_revision, proven_ms)",
        "tests/test_heartbeats.py::TestStoreAge",
    ),
    Mutation(
        "a peer's knowledge counts once this mirror has reached its revision",
        POOLER + "mirror.py",
        "if revision > self.revision:\n            return False",
        "if False:\n            return False",
        "tests/test_freshness.py::TestAge",
    ),
    Mutation(
        "polls that fail are rarer further down the order",
        POOLER + "freshness.py",
        "self._pause(1 + turn.place)",
        "self._pause(1)",
        "tests/test_freshness.py::TestOutage",
    ),
    Mutation(
        "a member is removed where most of the list are heard",
        POOLER + "members.py",
        "return (1 + len(heard)) * 2 > len(self.list_names())",
        "return True",
        "tests/test_members.py::TestRemoving",
    ),
    Mutation(
        "half of the members are too few where the others know of no removal",
        POOLER + "members.py",
        "changed_revision = max(joined_revision, self._changed_revision)",
        "changed_revision = joined_revision",
        "tests/test_members.py::TestQuorum",
    ),
    Mutation(
        "who doesn't know the list doesn't count for the next removal",
        POOLER + "members.py",
        "view.heard_up_to_ms >= oldest_ms\n"
        "            and view.known_revision >= self._changed_revision",
        "view.heard_up_to_ms >= oldest_ms",
        "tests/test_members.py::TestRemoving",
    ),
    Mutation(
        "heartbeats tell the end of a change that a peer knows to be under way",
        POOLER + "heartbeats.py",
        "or (record.settled and view.unsettled.get(record.service) == record.epoch)",
        "",
        "tests/test_heartbeats.py::TestAcknowledging",
    ),
    Mutation(
        "an empty watch is confirmed by a read before it proves anything",
        POOLER + "mirror.py",
        "                self._confirm_empty_watch()\n",
        "                self.confirm_current(self.revision, sent_at_ms)\n",
        "tests/test_mirror.py::TestMissedUpdates",
    ),
    Mutation(
        "relays tell what the members behind them know of the store",
        POOLER + "heartbeats.py",
        "view.known_revision = relayed.known_revision",
        "view.known_revision = self._mirror.revision",
        "tests/test_heartbeats.py::TestRevisionsBehindRelays",
    ),
    Mutation(
        "a line that is there is read after its deadline",
        POOLER + "lines.py",
        "left_ms = max(0, deadline_ms - self._clock.now_ms())",
        "left_ms = deadline_ms - self._clock.now_ms()\n"
        "        if left_ms <= 0:\n"
        '            raise TimeoutError("no whole line in time")',
        "tests/test_lines.py",
    ),
)
