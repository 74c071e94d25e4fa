"""How each mechanism of the pooler is switched off, and which test must then fail."""

from typing import NamedTuple


class Mutation(NamedTuple):
    """A mechanism, the replacement of text that switches it off, and its test.

    `test` must fail once `old` in `file` is replaced by `new`.
    """

    mechanism: str
    file: str
    old: str
    new: str
    test: str


POOLER = "bronzerelay/pooler/"
PATH = "tests/test_pooler_path.py::"

POOLER_MUTATIONS = (
    Mutation(
        "a primary is used only with a proof that it hasn't been replaced",
        POOLER + "primaryguard.py",
        "if not self.has_proof():",
        "if False:",
        "tests/test_primaryguard.py::TestProof",
    ),
    Mutation(
        "exactly half of the members are no proof",
        POOLER + "primaryguard.py",
        "needed = (len(times) + 1) // 2",
        "needed = len(times) // 2",
        "tests/test_primaryguard.py::TestProof",
    ),
    Mutation(
        "a heartbeat's proof counts from when the heartbeat it answers was sent",
        POOLER + "gossip.py",
        "return self._sent.get(number)",
        "return self._clock.now_ms()",
        "tests/test_gossip.py::TestProof",
    ),
    Mutation(
        "a primary change is acknowledged once the old primary is no longer in use",
        POOLER + "heartbeats.py",
        "if record.settled or self._guard.is_idle(record.service)",
        "if True",
        "tests/test_heartbeats.py::TestAcknowledging",
    ),
    Mutation(
        "a primary change waits for the lease of unheard daemons to expire",
        POOLER + "primarychanges.py",
        "elif now_ms - quorum_since_ms > LEASE_MS + LEASE_MARGIN_MS:",
        "elif True:",
        "tests/test_primarychanges.py::TestSafety",
    ),
    Mutation(
        "the lock holder verifies its lock again before it promotes",
        POOLER + "primarychanges.py",
        "if self._clock.now_ms() - self._lock_verified_ms > LOCK_RECHECK_MS:",
        "if False:",
        "tests/test_primarychanges.py::TestSafety",
    ),
    Mutation(
        "the replica that has received most of the log is promoted",
        POOLER + "primarychanges.py",
        "return max(candidates, key=lambda pair: pair[1].received, default=None)",
        "return min(candidates, key=lambda pair: pair[1].received, default=None)",
        "tests/test_primarychanges.py::TestWhen",
    ),
    Mutation(
        "a leaving primary stays primary until a replica has its log",
        POOLER + "primarychanges.py",
        "return is_close or received > log_end",
        "return True",
        PATH + "TestPrimaryChanges",
    ),
    Mutation(
        "the pooler never returns to an older configuration version",
        POOLER + "directory.py",
        "if config.version <= known:",
        "if False:",
        "tests/test_directory.py::TestConfig",
    ),
    Mutation(
        "a replaced primary that is still running doesn't become primary again",
        POOLER + "directory.py",
        "deposed = record is not None and entry.id == record.deposed",
        "deposed = False",
        "tests/test_directory.py::TestPrimaries",
    ),
    Mutation(
        "each operation is admitted by the key's current state",
        POOLER + "session.py",
        "        admitted = self._admit()\n        if isinstance(admitted, Refusal):\n"
        "            self._fail_transaction(admitted)",
        "        admitted = None\n        if isinstance(admitted, Refusal):\n"
        "            self._fail_transaction(admitted)",
        PATH + "TestAdmission",
    ),
    Mutation(
        "a write whose answer is lost isn't retried",
        POOLER + "runner.py",
        "may_repeat = answer.fault in NOT_RUN_FAULTS or not job.writes",
        "may_repeat = True",
        PATH + "TestInstances",
    ),
    Mutation(
        "a connection with an open transaction isn't reused",
        POOLER + "links.py",
        "if not link.usable or link.in_transaction:",
        "if not link.usable:",
        "tests/test_links.py",
    ),
    Mutation(
        "another session's values are cleared from a connection",
        POOLER + "links.py",
        "surplus = any(name not in values for name in self._values)",
        "surplus = False",
        PATH + "TestSessions",
    ),
    Mutation(
        "a sample of the primary's log counts from when it was requested",
        POOLER + "positions.py",
        "if sample.at_ms >= oldest_ms:",
        "if True:",
        "tests/test_placement.py::TestReadRequirement",
    ),
    Mutation(
        "a silent daemon's share of the rate is reserved",
        POOLER + "fleetrates.py",
        "return reachable / members",
        "return 1.0",
        "tests/test_fleetrates.py",
    ),
    Mutation(
        "operations that other daemons admit are taken from the bucket",
        POOLER + "fleetrates.py",
        "bucket.tokens = min(bucket.spec.burst, left)",
        "pass",
        "tests/test_fleetrates.py",
    ),
    Mutation(
        "log lines caused by requests are rate-limited",
        POOLER + "events.py",
        "if self._tokens < 1:",
        "if False:",
        "tests/test_events.py",
    ),
    Mutation(
        "keys that are missing from a full load count as removed",
        POOLER + "mirror.py",
        "if self._items[key].revision <= revision:",
        "if False:",
        "tests/test_mirror.py",
    ),
    Mutation(
        "above the rate each daemon admits the same fraction of requests",
        POOLER + "fleetrates.py",
        "bucket.credit += min(1.0, max(0.0, budget / expected))",
        "bucket.credit += 1.0",
        "tests/test_fleetrates.py",
    ),
    Mutation(
        "operations that a peer admitted before this process started don't count",
        POOLER + "sources.py",
        "if name in self._covered or self._complete:",
        "if True:",
        "tests/test_fleetrates.py::TestReports",
    ),
    Mutation(
        "a report holds all changes since the last heartbeat that was received",
        POOLER + "gossip.py",
        "complete(beat, view, self._find_sent(view.echoed_number))\n"
        "            self._send",
        "complete(beat, view, self._find_sent(number - 1))\n            self._send",
        "tests/test_gossip.py::TestReports",
    ),
    Mutation(
        "peers' reports count in deciding that a primary is dead",
        POOLER + "primarychanges.py",
        "since_ms = self._fleet.silent_since_ms(primary.id)",
        "since_ms = []",
        "tests/test_primarychanges.py::TestWhen",
    ),
    Mutation(
        "a primary that is still running isn't replaced after a long partition",
        POOLER + "primarychanges.py",
        "survivor = self._find_surviving_primary(waited_ms)",
        "survivor = None",
        "tests/test_primarychanges.py::TestSafety",
    ),
    Mutation(
        "half of the members are no quorum while a join isn't known to the others",
        POOLER + "members.py",
        "view is not None and view.store_revision >= changed_revision",
        "True",
        "tests/test_members.py",
    ),
    Mutation(
        "samples of a former primary are dropped",
        POOLER + "positions.py",
        "            self._samples.clear()\n            self.newest_own = None",
        "            pass",
        "tests/test_placement.py::TestReadRequirement",
    ),
    Mutation(
        "an own commit on a former primary delays no read",
        POOLER + "placement.py",
        "reads_own and own_commit and not self._predates_primary(route, own_commit)",
        "reads_own and own_commit",
        "tests/test_placement.py::TestReadRequirement",
    ),
    Mutation(
        "the end of a primary's last use is announced",
        POOLER + "primaryguard.py",
        "        if idle:\n            self.on_idle(service)",
        "",
        "tests/test_primaryguard.py::TestIdle",
    ),
    Mutation(
        "opening a connection to a primary doesn't count as using it",
        POOLER + "runner.py",
        "        if not as_primary:\n            return action()\n        refusal",
        "        refusal",
        PATH + "TestPrimaryChanges",
    ),
    Mutation(
        "the store is polled for a proof before the lease expires",
        POOLER + "primaryguard.py",
        "self._proof_ms + STORE_PROOF_INTERVAL_MS,",
        "self._proof_ms + LEASE_MS,",
        "tests/test_primaryguard.py::TestStoreProofs",
    ),
    Mutation(
        "daemons divide an instance's slots among themselves",
        POOLER + "runner.py",
        "return min(slots, max(1, math.ceil(STATEMENTS_PER_SLOT * slots / daemons)))",
        "return slots",
        PATH + "TestManyDaemons",
    ),
    Mutation(
        "an operation is retried at a busy primary on the same connection",
        POOLER + "runner.py",
        "if not slot.as_primary or self._clock.now_ms() >= job.slot_deadline_ms:",
        "if True:",
        PATH + "TestManyDaemons",
    ),
    Mutation(
        "an operation whose token is due within the maximum wait waits for it",
        POOLER + "fleetrates.py",
        "if due_ms > (0.0 if is_over_rate else max_wait_ms):",
        "if due_ms > 0:",
        "tests/test_fleetrates.py::TestInsideTheRate",
    ),
    Mutation(
        "a silent member is removed from the list after a short timeout",
        POOLER + "members.py",
        "MEMBER_TIMEOUT_MS = 5_000",
        "MEMBER_TIMEOUT_MS = 12_000",
        "tests/test_members.py::TestRemoving",
    ),
    Mutation(
        "an isolated daemon admits no operation",
        POOLER + "primaryguard.py",
        "if self.proof_age_ms() <= ISOLATED_AFTER_MS:",
        "if True:",
        PATH + "TestIsolation",
    ),
    Mutation(
        "a session that an isolated daemon refuses is ended",
        POOLER + "session.py",
        "return is_isolated and is_idle and not self._reader.has_line()",
        "return False",
        PATH + "TestIsolation",
    ),
    Mutation(
        "a proof is relayed to peers with its age",
        POOLER + "heartbeats.py",
        "self._guard.add_peer_proof(proven_ms - beat.proof_age_ms)",
        "self._guard.add_peer_proof(proven_ms)",
        "tests/test_heartbeats.py::TestProof",
    ),
    Mutation(
        "a proof is relayed to peers",
        POOLER + "heartbeats.py",
        "self._guard.add_peer_proof(proven_ms - beat.proof_age_ms)",
        "pass",
        "tests/test_heartbeats.py::TestProof",
    ),
    Mutation(
        "a heartbeat that omits primary changes proves nothing",
        POOLER + "heartbeats.py",
        "if beat.store_revision <= 0 or not beat.has_all_records:",
        "if beat.store_revision <= 0:",
        "tests/test_heartbeats.py::TestAcknowledging",
    ),
    Mutation(
        "what one relay has reported isn't counted again from another one",
        POOLER + "fleetrates.py",
        "                self._cover_others(source, peer)\n",
        "",
        "tests/test_heartbeats.py::TestReporters",
    ),
    Mutation(
        "operations from before a peer reported in a scope again don't count",
        POOLER + "fleetrates.py",
        "if source is None or was_silent or source.is_silent(now_ms):",
        "if source is None or source.is_silent(now_ms):",
        "tests/test_heartbeats.py::TestRatesAfterFailures",
    ),
    Mutation(
        "reports of only one relay per group are accepted at a time",
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
        "the store is polled when the knowledge of its state gets old",
        POOLER + "freshness.py",
        "if self._time_to_poll_ms(turn) <= 0:",
        "if self._proof_due_ms() <= 0:",
        PATH + "TestLostWatches",
    ),
    Mutation(
        "the store is loaded again when the watch misses what a poll finds",
        POOLER + "freshness.py",
        "self._mirror.load_again()",
        "pass",
        "tests/test_freshness.py::TestUpdates",
    ),
    Mutation(
        "daemons behind relays also poll the store",
        POOLER + "heartbeats.py",
        "return Turn(self.contacts.find_place(), 2 * RELAY_LAG_MS)",
        "return Turn(0, 1e9)",
        PATH + "TestRelays",
    ),
    Mutation(
        "a peer's knowledge of the store counts with its age",
        POOLER + "heartbeats.py",
        "beat.store_revision, proven_ms - beat.store_age_ms",
        "beat.store_revision, proven_ms",
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
        "a daemon that hears too few others polls the store for its proofs",
        POOLER + "freshness.py",
        "return min(turn_due_ms, self._proof_due_ms())",
        "return turn_due_ms",
        "tests/test_freshness.py::TestProofs",
    ),
    Mutation(
        "a few relays watch the store for the whole fleet",
        POOLER + "heartbeats.py",
        "return () if self._name in watchers else tuple(watchers)",
        "return ()",
        "tests/test_heartbeats.py::TestStoreWatchers",
    ),
    Mutation(
        "daemons that start together batch the updates that they watch",
        POOLER + "mirror.py",
        "if not is_starting:",
        "if True:",
        "tests/test_mirror.py::TestFollowing",
    ),
    Mutation(
        "failed polls are retried less often by daemons later in the order",
        POOLER + "freshness.py",
        "self._pause(1 if is_for_proof else 1 + turn.place)",
        "self._pause(1)",
        "tests/test_freshness.py::TestOutage",
    ),
    Mutation(
        "a member is removed only by a daemon that hears a majority of the list",
        POOLER + "members.py",
        "return (1 + len(heard)) * 2 > len(self.list_names())",
        "return True",
        "tests/test_members.py::TestRemoving",
    ),
    Mutation(
        "half of the members are no quorum while a removal isn't known to the others",
        POOLER + "members.py",
        "changed_revision = max(joined_revision, self._changed_revision)",
        "changed_revision = joined_revision",
        "tests/test_members.py::TestQuorum",
    ),
    Mutation(
        "members without the current list don't count towards the next removal",
        POOLER + "members.py",
        "view.heard_up_to_ms >= oldest_ms\n"
        "            and view.known_revision >= self._changed_revision",
        "view.heard_up_to_ms >= oldest_ms",
        "tests/test_members.py::TestRemoving",
    ),
    Mutation(
        "heartbeats announce a settled change that the peer holds as unsettled",
        POOLER + "heartbeats.py",
        "or (record.settled and view.unsettled.get(record.service) == record.epoch)",
        "",
        "tests/test_heartbeats.py::TestAcknowledging",
    ),
    Mutation(
        "an empty watch doesn't prove the mirror current",
        POOLER + "mirror.py",
        "            self._note_success()\n            return\n",
        "            self._note_answer(sent_at_ms)\n            return\n",
        "tests/test_mirror.py::TestMissedUpdates",
    ),
    Mutation(
        "relays report the store revision that each member behind them knows",
        POOLER + "heartbeats.py",
        "view.known_revision = relayed.known_revision",
        "view.known_revision = self._mirror.revision",
        "tests/test_heartbeats.py::TestRevisionsBehindRelays",
    ),
    Mutation(
        "a line that has already arrived is read even after its deadline",
        POOLER + "lines.py",
        "left_ms = max(0, deadline_ms - self._clock.now_ms())",
        "left_ms = deadline_ms - self._clock.now_ms()\n"
        "        if left_ms <= 0:\n"
        '            raise TimeoutError("no whole line in time")',
        "tests/test_lines.py",
    ),
)
