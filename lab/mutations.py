"""Switches off one mechanism after another and checks that its test fails.

Each mutation is applied to a copy of the tree, never to the tree itself. If a test
passes despite its mutation, it doesn't check the mechanism.
"""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import click

from lab.passingmutations import PASSING_MUTATIONS
from lab.poolermutations import POOLER_MUTATIONS, Mutation

ROOT = Path(__file__).resolve().parent.parent
COPIED = (
    "bronzerelay",
    "platform",
    "standins",
    "tests",
    "lab",
    "docs",
    "pyproject.toml",
)
TIMEOUT_S = 180

MUTATIONS = (
    Mutation(
        "deeply nested answers are rejected before they are decoded",
        "bronzerelay/nesting.py",
        "if depth > limit:",
        "if False:",
        "tests/test_nesting.py::test_a_deep_answer_of_an_endpoint_closes_its_link_only",
    ),
    Mutation(
        "a refused write is retried only a few times",
        "bronzerelay/group.py",
        "            tries += 1\n",
        "",
        "tests/test_group.py::test_a_write_to_a_busy_primary_is_retried_a_few_times_only",
    ),
    Mutation(
        "a write is acknowledged only when a majority holds it",
        "bronzerelay/group.py",
        "if self.wait_acknowledged(work, written.position):",
        "if True:",
        "tests/test_failover.py::test_a_write_that_only_the_primary_holds_is_not_acknowledged",
    ),
    Mutation(
        "an instance in a later term doesn't count towards an acknowledgement",
        "bronzerelay/watch.py",
        "same_term = state.term == need.term and state.log_term == need.term",
        "same_term = True",
        "tests/test_watch.py",
    ),
    Mutation(
        "no instance is promoted unless a majority of instances is fenced",
        "bronzerelay/failover.py",
        "needed = len(spec.endpoints) // 2 + 1",
        "needed = 1",
        "tests/test_failover.py::test_a_daemon_without_a_majority_of_fences_promotes_nothing",
    ),
    Mutation(
        "the instance with the longest log is promoted",
        "bronzerelay/failover.py",
        "best = max(accepted, key=lambda item: (item.end, not item.endpoint.leaving))",
        "best = min(accepted, key=lambda item: item.end)",
        "tests/test_failover.py::test_the_replica_with_the_longest_log_is_promoted",
    ),
    Mutation(
        "a primary that no majority of instances follows is replaced",
        "bronzerelay/failover.py",
        "return now_ms - self._since_ms > limit_ms",
        "return False",
        "tests/test_failover.py::test_a_primary_cut_off_from_its_replicas_is_replaced",
    ),
    Mutation(
        "a daemon's own pause is no stall of the replicas",
        "bronzerelay/failover.py",
        "if now_ms - self._checked_at_ms > PAUSED_CHECK_MS:",
        "if False:",
        "tests/test_failover.py::test_a_pause_of_the_daemon_is_no_stall_of_the_replicas",
    ),
    Mutation(
        "instances that follow no primary are told to follow the current one",
        "bronzerelay/failover.py",
        "self._follow(endpoint, term, primary)",
        "pass",
        "tests/test_failover.py::test_an_interrupted_promotion_is_completed",
    ),
    Mutation(
        "writes wait while a leaving primary is replaced",
        "bronzerelay/failover.py",
        "if self._wait_until_caught_up(primary, leaving):",
        "if False:",
        "tests/test_failover.py::test_a_switchover_from_a_leaving_primary_refuses_no_write",
    ),
    Mutation(
        "a write whose answer is lost is settled, not sent again",
        "bronzerelay/group.py",
        "            if error.may_have_run:\n                return self.settle",
        "            if False:\n                return self.settle",
        "tests/test_promise_once.py::test_not_repeatable_is_sent_once",
    ),
    Mutation(
        "a write that is found cancelled isn't sent again as the next attempt",
        "bronzerelay/group.py",
        "run after all.\n                return self.settle(work, attempt)",
        "run after all.\n                attempt += 1\n                continue",
        "tests/test_promise_once.py::test_thawed_daemon_runs_no_cancelled_write",
    ),
    Mutation(
        "only the daemon that gave an attempt up may send the next attempt",
        "bronzerelay/group.py",
        "self._repeat_or_refuse(work, attempt, attempt == first)",
        "self._repeat_or_refuse(work, attempt, True)",
        "tests/test_promise_once.py::test_late_settling_daemon_repeats_nothing",
    ),
    Mutation(
        "an attempt counts as given up only when a majority has recorded it",
        "bronzerelay/group.py",
        "if not self._watch.wait_majority(position, self.left_ms(work)):",
        "if False:",
        "tests/test_promise_once.py::test_cancelling_needs_a_majority",
    ),
    Mutation(
        "a write lost with its daemon is settled, not sent again",
        "bronzerelay/routing.py",
        "if is_write(work) and _was_reply_lost(result.error):",
        "if False:",
        "tests/test_promise_once.py::test_cut_link_between_daemons",
    ),
    Mutation(
        "only a settle request proves that a lost write hasn't run",
        "bronzerelay/routing.py",
        "if result.is_ok() or result.error.code in SETTLED_CODES:",
        "if True:",
        "tests/test_promise_once.py::test_unknown_group_is_not_proof_of_not_run",
    ),
    Mutation(
        "retries at other daemons are limited by a budget",
        "bronzerelay/routing.py",
        "if endpoint_tried and not self._budget.allow(attempt):",
        "if False:",
        "tests/test_promise_once.py::test_retries_stay_within_budget",
    ),
    Mutation(
        "a session's reads wait for the position of its last write",
        "bronzerelay/reads.py",
        "need = work.session.get(work.group, Position(0, 0))",
        "need = Position(0, 0)",
        "tests/test_promise_sessions.py::test_session_reads_its_own_writes",
    ),
    Mutation(
        "a session's position is kept across a failover",
        "bronzerelay/reads.py",
        "need = work.session.get(work.group, Position(0, 0))",
        "need = Position(0, 0)",
        "tests/test_promise_sessions.py::test_session_holds_across_a_failover",
    ),
    Mutation(
        "sessions read the same values as from the naive store",
        "bronzerelay/reads.py",
        "need = work.session.get(work.group, Position(0, 0))",
        "need = Position(0, 0)",
        "tests/test_promise_sessions.py::test_sessions_see_what_the_naive_store_shows",
    ),
    Mutation(
        "a read doesn't return data that only the primary holds",
        "bronzerelay/reads.py",
        "if may_be_lost and not policy.wait_acknowledged(self._watch, seen, wait_ms):",
        "if False:",
        "tests/test_promise_sessions.py::test_what_a_read_returned_does_not_vanish",
    ),
    Mutation(
        "a read at the primary proves its age",
        "bronzerelay/reads.py",
        "if policy.wait_proven(self._watch, seen, since_ms, by_primary, wait_ms):",
        "if True:",
        "tests/test_promise_sessions.py::test_former_primary_proves_no_freshness",
    ),
    Mutation(
        "a replica proves its age by a position that it has reached",
        "bronzerelay/watch.py",
        "if sample.term == term and sample.position <= end.position:",
        "if sample.term == term:",
        "tests/test_promise_sessions.py::test_no_read_is_older_than_stated",
    ),
    Mutation(
        "proofs of age are kept for longer than replicas lag",
        "bronzerelay/watch.py",
        "SAMPLE_GAP_MS = 20",
        "SAMPLE_GAP_MS = 0",
        "tests/test_promise_sessions.py::test_busy_primary_keeps_proofs_for_slow_replicas",
    ),
    Mutation(
        "no statement runs on the connection of a transaction that has ended",
        "bronzerelay/transactions.py",
        "if not self._is_open(transaction):",
        "if False:",
        "tests/test_promise_transactions.py::test_request_behind_a_commit",
    ),
    Mutation(
        "a transaction is ended only once",
        "bronzerelay/transactions.py",
        "if self._open.pop(transaction.id, None) is None:",
        "if self._open.pop(transaction.id, None) is ...:",
        "tests/test_promise_transactions.py::test_idle_transaction_ends_once",
    ),
    Mutation(
        "a transaction token is valid only in its own workspace",
        "bronzerelay/transactions.py",
        "if transaction is None or transaction.workspace != work.workspace:",
        "if transaction is None:",
        "tests/test_promise_transactions.py::test_token_of_another_workspace",
    ),
    Mutation(
        "transactions of callers that are gone are ended when the limit is reached",
        "bronzerelay/transactions.py",
        "if self._count_at(name) >= limit and not self._evict_idle(name):",
        "if self._count_at(name) >= limit:",
        "tests/test_promise_transactions.py::test_vanished_callers_make_room",
    ),
    Mutation(
        "a transaction doesn't return data of a replaced primary",
        "bronzerelay/transactions.py",
        "if seen < work.session.get(work.group, Position(0, 0)):",
        "if False:",
        "tests/test_promise_transactions.py::test_transaction_on_former_primary",
    ),
    Mutation(
        "a connection inside a transaction isn't reused",
        "bronzerelay/pool.py",
        "reusable = not link.in_transaction and link.is_usable()",
        "reusable = link.is_usable()",
        "tests/test_promise_transactions.py::test_transaction_on_former_primary",
    ),
    Mutation(
        "a commit whose answer is lost is settled",
        "bronzerelay/transactions.py",
        'if result.error.may_have_run or result.error.kind == "cancelled":',
        "if False:",
        "tests/test_promise_transactions.py::test_answer_to_commit_lost",
    ),
    Mutation(
        "a commit lost with its daemon is settled",
        "bronzerelay/routing.py",
        "if result.is_ok() or result.error.code not in ENDED_CODES:",
        "if True:",
        "tests/test_promise_transactions.py::test_commit_between_daemons_cut",
    ),
    Mutation(
        "all commits of a transaction have the same request ID",
        "bronzerelay/transactions.py",
        'return work._replace(request_id=f"{work.workspace}{ID_MARK}{token}")',
        "return work",
        "tests/test_promise_transactions.py::test_commit_sent_again",
    ),
    Mutation(
        "a transaction that is reported as lost is rolled back",
        "bronzerelay/routing.py",
        "            self._roll_back(holder, work)",
        "            pass",
        "tests/test_promise_transactions.py::test_statement_between_daemons_cut",
    ),
    Mutation(
        "an answer to another request reaches no caller",
        "bronzerelay/dialect.py",
        'if answer["id"] == self._last_id:',
        "if True:",
        "tests/test_promise_transactions.py::test_answers_reach_their_own_callers",
    ),
    Mutation(
        "the wait for SIGTERM shares no lock with the signal handler",
        "bronzerelay/daemon.py",
        "    stop_requested = runtime.make_signal()\n",
        "    stop_requested = runtime.make_event()\n",
        "tests/test_daemon.py",
    ),
    Mutation(
        "tokens on loan count against the lender's burst",
        "bronzerelay/buckets.py",
        "self._lent.append(LoanedTokens(lent, now_ms + LOAN_LIFE_MS, request.process))",
        "pass",
        "tests/test_shares.py::test_no_window_sees_more_than_rate_and_burst",
    ),
    Mutation(
        "a loan's lifetime starts when it is requested",
        "bronzerelay/borrowing.py",
        "until_ms = sent_at_ms + LOAN_LIFE_MS",
        "until_ms = self._runtime.clock.now_ms() + LOAN_LIFE_MS",
        "tests/test_shares.py::test_no_window_sees_more_than_rate_and_burst",
    ),
    Mutation(
        "a share grows only after all members have reduced theirs",
        "bronzerelay/shares.py",
        "for members in (self._members, self._confirmed)",
        "for members in (self._members,)",
        "tests/test_shares.py::test_a_share_shrinks_at_once_and_grows_when_all_have_shrunk",
    ),
    Mutation(
        "no share grows while loans from a larger share are outstanding",
        "bronzerelay/sharekeeper.py",
        " and self._shares.loans_fit()",
        "",
        "tests/test_shares.py::test_no_share_grows_while_loans_from_a_larger_share_may_be_spent",
    ),
    Mutation(
        "two versions of a workspace's limits share one burst",
        "bronzerelay/shares.py",
        "account.bursts_in_use.add(spec.burst)",
        "account.bursts_in_use = {spec.burst}",
        "tests/test_shares.py::test_shares_of_two_configuration_versions_never_exceed_the_whole",
    ),
    Mutation(
        "a restarted daemon waits until its predecessor's loans have lapsed",
        "bronzerelay/shares.py",
        "account.bucket.start_empty(now_ms, self._fill_from_ms)",
        "account.bucket.start_empty(now_ms, now_ms)",
        "tests/test_shares.py::test_a_restarted_daemon_waits_until_its_earlier_loans_have_expired",
    ),
    Mutation(
        "a workspace that is added again keeps its outstanding loans",
        "bronzerelay/shares.py",
        "self._removed[removed] = self._accounts.pop(removed)",
        "self._accounts.pop(gone)",
        "tests/test_shares.py::test_a_workspace_that_is_added_again_keeps_its_loans",
    ),
    Mutation(
        "a loan request that was overtaken releases no loan",
        "bronzerelay/buckets.py",
        "if request.number <= self._last_numbers.get(request.process, 0):",
        "if False:",
        "tests/test_shares.py::test_a_loan_request_that_was_overtaken_ends_no_loan",
    ),
    Mutation(
        "a spent loan no longer counts against the lender's burst",
        "bronzerelay/buckets.py",
        "        self._end_spent_loans(request)\n",
        "",
        "tests/test_shares.py::test_a_lender_refills_the_tokens_of_a_loan_that_was_spent",
    ),
    Mutation(
        "a VM is removed only when it is missing in two checks in a row",
        "bronzerelay/roster.py",
        "gone = missing & self._missing_before",
        "gone = missing",
        "tests/test_roster.py::test_a_vm_that_is_gone_is_removed_at_the_second_check",
    ),
    Mutation(
        "all daemons together share a workspace's rate",
        "bronzerelay/shares.py",
        "fraction = min(fractions, default=0.0)",
        "fraction = 1.0",
        "tests/test_promise_rates.py::test_five_times_its_rate_gets_the_rate_and_no_more",
    ),
    Mutation(
        "a daemon with more callers than its share allows borrows tokens",
        "bronzerelay/holders.py",
        "return [holder for holder in holders if holder != name]",
        "return []",
        "tests/test_promise_rates.py::test_callers_inside_their_rate_are_not_refused_beside_a_flood",
    ),
    Mutation(
        "a daemon that was frozen has no more tokens than its burst",
        "bronzerelay/buckets.py",
        "self._tokens = max(0.0, min(room, filled))",
        "self._tokens = max(0.0, filled)",
        "tests/test_promise_rates.py::test_the_rate_holds_while_daemons_die_freeze_and_the_platform_is_out",
    ),
    Mutation(
        "a lowered rate comes into force",
        "bronzerelay/shares.py",
        "            account.spec = spec\n            # A new",
        "            # A new",
        "tests/test_promise_rates.py::test_a_lowered_rate_holds_once_it_is_in_force",
    ),
    Mutation(
        "each workspace has its own queue",
        "bronzerelay/policies.py",
        "name_queue=name_own_queue",
        'name_queue=lambda workspace: ""',
        "tests/test_promise_fairness.py::test_a_flood_inside_its_own_rate_takes_no_slots_from_the_others",
    ),
    Mutation(
        "no write starts without enough time left to run",
        "bronzerelay/instances.py",
        "START_MARGIN = 3",
        "START_MARGIN = 0",
        "tests/test_promise_fairness.py::test_equal_floods_get_equal_shares_of_the_slots",
    ),
    Mutation(
        "workspaces that no idle endpoint suits accumulate no turns",
        "bronzerelay/slots.py",
        "                return waiter\n        return None\n\n    def _grant(",
        "                return waiter\n"
        "        ring.skip_turns(len(ring.order), barred)\n"
        "        ring.turn = None\n"
        "        return None\n"
        "\n"
        "    def _grant(",
        "tests/test_slots.py::test_idle_endpoints_that_nobody_can_use_add_no_credit",
    ),
    Mutation(
        "the configuration version never decreases",
        "bronzerelay/configuration.py",
        "if configuration.version <= self._current_version():",
        "if False:",
        "tests/test_configuration.py::test_a_late_answer_with_an_older_version_changes_nothing",
    ),
    Mutation(
        "a daemon that starts during a platform outage asks its seeds",
        "bronzerelay/gossip.py",
        "        self._fetch_newer(address, result.ok)\n"
        "        return True\n"
        "\n"
        "    def _check",
        "        return True\n\n    def _check",
        "tests/test_promise_configuration.py::test_versions_are_in_force_everywhere_and_never_go_back",
    ),
    Mutation(
        "an isolated daemon doesn't admit requests",
        "bronzerelay/kernel.py",
        "if self._membership.is_isolated():",
        "if False:",
        "tests/test_promise_configuration.py::test_a_daemon_cut_from_platform_and_peers_stops_admitting",
    ),
    Mutation(
        "the minority side of a partition doesn't admit requests",
        "bronzerelay/membership.py",
        "return len(heard) * 2 <= len(names)",
        "return False",
        "tests/test_promise_configuration.py::test_a_daemon_cut_from_platform_and_peers_stops_admitting",
    ),
    Mutation(
        "an outage of the platform isn't taken for isolation",
        "bronzerelay/membership.py",
        "return len(heard) * 2 <= len(names)",
        "return True",
        "tests/test_promise_configuration.py::test_an_outage_of_the_platform_stops_no_request",
    ),
    Mutation(
        "a key is checked at each request",
        "bronzerelay/configuration.py",
        "if hash_key(key) not in spec.key_hashes:",
        'known = self.__dict__.setdefault("known", {key})\n'
        "        if hash_key(key) not in spec.key_hashes and key not in known:",
        "tests/test_promise_configuration.py::test_a_withdrawn_key_stops_on_open_connections_of_every_daemon",
    ),
    Mutation(
        "a caller's key isn't sent beyond the daemon",
        "bronzerelay/kernel.py",
        "self._make_work(workspace, request, session.ok, deadline_ms)",
        "self._make_work(workspace + key, request, session.ok, deadline_ms)",
        "tests/test_promise_configuration.py::test_no_endpoint_and_no_log_sees_a_key",
    ),
    Mutation(
        "a leaving replica gets no new reads",
        "bronzerelay/reads.py",
        " or name in leaving",
        "",
        "tests/test_promise_configuration.py::test_leaving_endpoints_get_no_new_work",
    ),
    Mutation(
        "a leaving primary is replaced",
        "bronzerelay/failover.py",
        "                self._switch_over_leaving(primary)",
        "                pass",
        "tests/test_promise_configuration.py::test_leaving_endpoints_get_no_new_work",
    ),
    Mutation(
        "a stopping daemon finishes its callers' requests",
        "bronzerelay/daemon.py",
        "components.front.drain(self._settings.drain_ms)",
        "True",
        "tests/test_promise_stopping.py::test_a_rolling_restart_under_load_cuts_no_request",
    ),
    Mutation(
        "a stopping daemon finishes its peers' requests",
        "bronzerelay/daemon.py",
        "components.server.drain(self._settings.drain_ms)",
        "True",
        "tests/test_promise_stopping.py::test_a_stopping_daemon_finishes_forwarded_requests",
    ),
    Mutation(
        "a group's status is shown only by the daemon that serves it",
        "bronzerelay/groups.py",
        "            for name in list(self._specs)\n"
        "            if self._is_serving_daemon(name)\n",
        "            for name in served\n",
        "tests/test_group.py::test_a_group_is_listed_by_its_serving_daemon_and_by_no_standby",
    ),
    Mutation(
        "waking the slot queue takes no lock while no waiter's choice can change",
        "bronzerelay/slots.py",
        "        if not self._dynamic_count:\n            return\n",
        "",
        "tests/test_slots.py::test_writes_take_the_lock_twice_however_often_replicas_report",
    ),
    Mutation(
        "a request that would get its slot too late is refused at once",
        "bronzerelay/slots.py",
        "if wait_ms > left_ms and not",
        "if False and not",
        "tests/test_slots.py::test_a_flood_that_gets_its_turn_too_late_is_refused_at_once",
    ),
    Mutation(
        "no statement runs for a peer that has closed its connection",
        "bronzerelay/instances.py",
        "if not work.is_wanted():",
        "if False:",
        "tests/test_promise_once.py::test_queued_work_of_a_closed_peer_link_takes_no_slot",
    ),
    Mutation(
        "a request waits for the first heartbeats after a pause",
        "bronzerelay/kernel.py",
        "admitted = self._await_admission(deadline_ms)",
        "admitted = self.check_admission()",
        "tests/test_kernel.py::test_a_request_after_a_pause_waits_for_the_next_heartbeats",
    ),
    Mutation(
        "a switchover waits for no instance that is silent",
        "bronzerelay/failover.py",
        "if name not in leaving and state.reachable and state.log_term == term",
        "if name not in leaving",
        "tests/test_failover.py::test_a_leaving_primary_serves_while_its_only_successor_is_silent",
    ),
    Mutation(
        "a descriptor stays open while a task waits on it",
        "bronzerelay/runtime.py",
        "is_unused = not self._calls",
        "is_unused = True",
        "tests/test_runtime.py::TestClosing::test_the_descriptor_of_a_waiting_task_isnt_reused",
    ),
    Mutation(
        "a request refused as busy keeps its slot and is asked again",
        "bronzerelay/instances.py",
        "if result.is_ok() or result.error.kind != BUSY:",
        "if True:",
        "tests/test_group.py::test_two_daemons_that_serve_a_group_refuse_no_write_as_busy",
    ),
    Mutation(
        "a workspace within its fair share isn't refused for slow grants",
        "bronzerelay/slots.py",
        " and not self._has_fair_turn(subqueue, selector, left_ms):",
        ":",
        "tests/test_slots.py::test_a_slowed_queue_refuses_no_workspace_within_its_fair_share",
    ),
    Mutation(
        "a daemon that most peers missed stands down",
        "bronzerelay/standdown.py",
        "return missed >= _find_majority(peer_count)",
        "return False",
        "tests/test_standdown.py::test_a_daemon_that_was_missed_leaves_its_groups_to_the_others",
    ),
    Mutation(
        "a minority of peers lets no daemon stand down",
        "bronzerelay/standdown.py",
        "return missed >= _find_majority(peer_count)",
        "return missed >= 1",
        "tests/test_standdown.py::test_a_single_peer_moves_no_groups",
    ),
    Mutation(
        "a request waits for what the daemon hears after a pause",
        "bronzerelay/routing.py",
        "        self._membership.wait_for_answers(self._left_ms(work))\n",
        "",
        "tests/test_standdown.py::test_a_request_after_a_pause_goes_to_who_serves_its_group_now",
    ),
    Mutation(
        "a member that was missed serves only once it says that it may",
        "bronzerelay/membership.py",
        "return now_ms < missed_at_ms + STAND_DOWN_MS",
        "return False",
        "tests/test_standdown.py::test_a_daemon_that_was_missed_leaves_its_groups_to_the_others",
    ),
    Mutation(
        "a pause is recorded by whatever runs first after it",
        "bronzerelay/membership.py",
        "if now_ms - self._running_at_ms > PAUSE_MS:",
        "if False:",
        "tests/test_standdown.py::test_requests_that_waited_out_a_pause_are_held_until_the_peers_answer",
    ),
    Mutation(
        "a busy endpoint gets fewer requests for a while",
        "bronzerelay/slots.py",
        "return self.slots * 2.0 ** min(doublings, MAX_DOUBLINGS)",
        "return math.inf",
        "tests/test_slots.py::test_a_busy_endpoint_gets_fewer_requests_for_a_while",
    ),
    Mutation(
        "a peer that is slow to accept a connection isn't taken for dead",
        "bronzerelay/peers.py",
        "is_unreachable = not isinstance(error, TimeoutError | LinkDroppedError)",
        "is_unreachable = True",
        "tests/test_peers.py::test_a_slow_peer_isnt_unreachable",
    ),
    Mutation(
        "a call that still opens its link to a silent peer is cut, too",
        "bronzerelay/peers.py",
        "        self._mark_active(address, connection)\n        try:",
        "        try:",
        "tests/test_peers.py::test_a_call_that_still_opens_its_link_is_dropped_too",
    ),
    Mutation(
        "a daemon doesn't suspect its peers because of its own pause",
        "bronzerelay/membership.py",
        "if pause.began_ms <= until_ms and view.heard_at_ms <= pause.ended_ms:",
        "if False:",
        "tests/test_membership.py::test_a_paused_daemon_counts_no_peer_as_dead_for_its_own_pause",
    ),
    Mutation(
        "a lost status connection is reopened",
        "bronzerelay/watch.py",
        "reconnected = self._reconnect(endpoint, failed.left_ms)",
        "reconnected = None",
        "tests/test_promise_once.py::test_lost_connection_replaces_no_primary",
    ),
    Mutation(
        "a duplicate answer is skipped",
        "bronzerelay/dialect.py",
        "< self._last_id:\n            self._got_repeated_answer = True\n",
        '< self._last_id:\n            raise BrokenLinkError("answered twice")\n',
        "tests/test_dialect.py::test_a_repeated_answer_leaves_the_next_outcome_known",
    ),
    Mutation(
        "a duplicate answer before a request leaves its transaction open",
        "bronzerelay/dialect.py",
        "            self._discard_repeated_answers()\n",
        "            pass\n",
        "tests/test_dialect.py::test_a_repeated_answer_leaves_its_transaction_open",
    ),
    Mutation(
        "a signal that interrupts no wait still wakes the main task",
        "bronzerelay/runtime.py",
        "previous_fd = signal.set_wakeup_fd(writer, warn_on_full_buffer=False)",
        "previous_fd = -1",
        "tests/test_runtime.py::TestSignal",
    ),
    Mutation(
        "a daemon that is still starting refuses connections",
        "bronzerelay/front.py",
        "runtime.bind(settings.listen, self._tls)",
        "runtime.listen(settings.listen, self._tls)",
        "tests/test_daemon.py::test_a_daemon_that_is_starting_refuses_callers_and_peers",
    ),
    Mutation(
        "more urgent requests get their slots first",
        "bronzerelay/load/urgency.py",
        "levels = sorted(waiting)",
        "levels = sorted(waiting, reverse=True)",
        "tests/test_urgency.py::TestBurstOfTheLeastUrgent",
    ),
    Mutation(
        "less urgent levels keep a share of the slots",
        "bronzerelay/load/urgency.py",
        "return due + [level for level in levels if level not in due]",
        "return levels",
        "tests/test_urgency.py::test_a_burst_of_the_most_urgent_leaves_the_others_their_share",
    ),
    Mutation(
        "a workspace ahead of the others loses its precedence",
        "bronzerelay/load/urgency.py",
        "limit = lowest + LEAD_LIMIT",
        "limit = math.inf",
        "tests/test_urgency.py::test_a_workspace_that_floods_with_urgent_requests_takes_nothing",
    ),
    Mutation(
        "an urgent request displaces a less urgent one from a full queue",
        "bronzerelay/slots.py",
        "found = find_displaced(counts, level)",
        "found = None",
        "tests/test_urgency.py::TestFullQueue",
    ),
    Mutation(
        "what can't have a slot in time at the pace of its level is refused at once",
        "bronzerelay/slots.py",
        "if pace.estimate_wait(now_ms) <= deadline_ms - now_ms:",
        "if True:",
        "tests/test_urgency.py::TestBurstOfTheLeastUrgent",
    ),
    Mutation(
        "less urgent callers return later",
        "bronzerelay/slots.py",
        "return max(wait_ms, find_return_ms(level, ahead, self._find_interval()))",
        "return wait_ms",
        "tests/test_urgency.py::test_return_times_are_ordered_by_level",
    ),
    Mutation(
        "an invented key leaves the log's lines readable",
        "bronzerelay/logs.py",
        "return json.dumps(redacted)",
        "return redact_keys(json.dumps(fields))",
        "tests/test_logs.py::test_a_short_key_leaves_a_line_readable",
    ),
    Mutation(
        "a status page is checked for nesting before it is decoded",
        "bronzerelay/fleet.py",
        "if not check_nesting(response.ok, ANSWER_NESTING):",
        "if False:",
        "tests/test_nesting.py::test_no_page_of_a_daemon_ends_the_operators_command",
    ),
    Mutation(
        "line breaks in names and messages are printed escaped",
        "bronzerelay/printing.py",
        "click.echo(escape_unprintable(line))",
        "click.echo(line)",
        "tests/test_cli.py::test_an_author_cannot_add_lines_to_a_shown_bundle",
    ),
    Mutation(
        "text of a caller is printed in quotes",
        "bronzerelay/logcommands.py",
        "if not isinstance(value, str) or PLAIN_TEXT.fullmatch(value):",
        "if True:",
        "tests/test_logcommands.py::TestCommands::test_text_of_a_caller_stays_in_its_field",
    ),
    Mutation(
        "a log line is checked for nesting before it is decoded",
        "bronzerelay/loglines.py",
        "if not check_nesting(data):",
        "if False:",
        "tests/test_logcommands.py::TestCommands::test_lines_of_another_program_are_skipped",
    ),
    Mutation(
        "an amount is passed on with all its digits",
        "bronzerelay/types.py",
        "amount: NotRequired[int | float]",
        "amount: NotRequired[float]",
        "tests/test_statements.py::test_numbers_reach_the_endpoint_as_they_were_sent",
    ),
    Mutation(
        "an amount that no float holds is refused",
        "bronzerelay/statements.py",
        'if abs(statement.get("amount", 0)) > sys.float_info.max:',
        "if False:",
        "tests/test_statements.py::test_an_amount_that_no_float_holds_is_refused",
    ),
    Mutation(
        "the age that a read accepts is bounded",
        "bronzerelay/reads.py",
        "return min(max_age_ms, LONGEST_AGE_MS)",
        "return max_age_ms",
        "tests/test_group.py::test_a_read_that_accepts_data_of_any_age_is_served",
    ),
    Mutation(
        "a logged reason is cut off when it is long",
        "bronzerelay/refusallog.py",
        "if len(text) <= REASON_LENGTH",
        "if True",
        "tests/test_refusallog.py::test_a_huge_text_of_a_caller_makes_no_huge_line",
    ),
    Mutation(
        "a group's name is bounded",
        "bronzerelay/statements.py",
        'if len(request["group"]) > GROUP_NAME_LENGTH:',
        "if False:",
        "tests/test_statements.py::test_a_mistake_is_reported",
    ),
    Mutation(
        "an endpoint's answers are split at line feeds only",
        "bronzerelay/dialect.py",
        "return data.split(LINE_END)[:-1]",
        "return data.splitlines()",
        "tests/test_dialect.py::test_a_carriage_return_in_an_answer_ends_no_line",
    ),
    Mutation(
        "a bundle file is split at line feeds only",
        "bronzerelay/bundlefile.py",
        'for line in text.removesuffix("\\n").split("\\n"):',
        "for line in text.splitlines():",
        "tests/test_bundlefile.py::test_an_edit_preserves_a_comment_with_any_character",
    ),
    Mutation(
        "a roster whose epoch fits no heartbeat is rejected",
        "bronzerelay/membership.py",
        'if not 0 <= roster["epoch"] <= MAX_EPOCH:',
        "if False:",
        "tests/test_membership.py::test_a_roster_that_cannot_be_used_changes_nothing",
    ),
    Mutation(
        "a peer's configuration is checked for nesting before it is decoded",
        "bronzerelay/gossip.py",
        "if not check_nesting(data, ANSWER_NESTING):",
        "if False:",
        "tests/test_daemon_gossip.py::test_a_configuration_that_cannot_be_read_is_not_put_in_force",
    ),
    Mutation(
        "the retry-after time of a tiny rate is bounded",
        "bronzerelay/shares.py",
        "token_ms = min(1000 / spec.rate, MAX_RETRY_AFTER_MS)",
        "token_ms = 1000 / spec.rate",
        "tests/test_shares.py::test_a_refusal_at_a_tiny_rate_says_when_to_retry",
    ),
    Mutation(
        "what libraries log is written as lines of the log",
        "bronzerelay/logs.py",
        "libraries.addHandler(handler)",
        "pass",
        "tests/test_logs.py::test_what_a_library_logs_is_a_redacted_line_too",
    ),
)


def copy_tree(folder: Path) -> None:
    """Copy the files that the tests need into `folder`."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            ignore = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, folder / name, ignore=ignore)
        elif source.exists():
            shutil.copy(source, folder / name)


def run_test(folder: Path, test: str) -> tuple[bool, str]:
    """Return whether `test` passes in `folder`, and the output line that says why."""
    command = [sys.executable, "-m", "pytest", "-q", "-x", test]
    try:
        done = subprocess.run(
            command, cwd=folder, capture_output=True, text=True, timeout=TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return False, f"timed out after {TIMEOUT_S} s"
    lines = done.stdout.strip().splitlines()
    failed = [line for line in lines if line.startswith(("FAILED", "ERROR"))]
    return done.returncode == 0, (failed or lines or ["no output"])[-1]


def try_mutation(mutation: Mutation) -> tuple[str, str]:
    """Return "caught", "missed" or "stale", and a line that says why."""
    with tempfile.TemporaryDirectory(prefix="bronzerelay-mutation-") as name:
        folder = Path(name)
        copy_tree(folder)
        path = folder / mutation.file
        text = path.read_text()
        if text.count(mutation.old) != 1:
            return "stale", f"{mutation.file} doesn't contain the text exactly once"
        path.write_text(text.replace(mutation.old, mutation.new))
        passes, reason = run_test(folder, mutation.test)
        return "missed" if passes else "caught", reason


@click.command()
@click.option("--only", default="", help="Only mechanisms that contain this text.")
def main(only: str) -> None:
    """Try every mutation and exit with 1 unless each of them is caught."""
    outcomes = []
    for mutation in (*MUTATIONS, *POOLER_MUTATIONS, *PASSING_MUTATIONS):
        if only not in mutation.mechanism:
            continue
        outcome, reason = try_mutation(mutation)
        outcomes.append(outcome)
        click.echo(f"{outcome:7} {mutation.mechanism}\n        {reason}")
    not_caught = len(outcomes) - outcomes.count("caught")
    click.echo(f"{outcomes.count('caught')} caught, {not_caught} not caught")
    sys.exit(1 if not_caught else 0)


if __name__ == "__main__":
    main()
