"""End-to-end tests of statements that are passed on to link holders, on stand-ins."""

import msgspec
import pytest

from bronzerelay import decoding
from bronzerelay.codes import Code
from bronzerelay.load import linkholders
from bronzerelay.pooler import passingclient, passingserver
from bronzerelay.pooler.daemon import END_FRACTION
from bronzerelay.pooler.lines import MAX_LINE_BYTES
from bronzerelay.pooler.messages import Answer, Fault, Position, TransactionState, Verb
from bronzerelay.pooler.passing import (
    Kind,
    Outcome,
    Reply,
    Request,
    encode_frame,
    make_answer_reply,
    make_refusal_reply,
)
from bronzerelay.pooler.primaryguard import LEASE_MS
from bronzerelay.pooler.refusals import refuse_no_primary
from bronzerelay.runtime import Clock
from standins.lineplatform import AGED, OWN, SERVICE, STRICT
from tests.builders_passing import PRIMARY, PassingFleet
from tests.builders_pooler import make_primary_record, open_session, run_ok


@pytest.fixture
def fleet():
    fleet = PassingFleet()
    yield fleet
    fleet.close()


@pytest.fixture(autouse=True)
def patience(monkeypatch):
    """Let a busy machine make no holder look silent, except where a test sets less."""
    set_patience(monkeypatch, 5_000)


def set_patience(monkeypatch, value_ms):
    monkeypatch.setattr(linkholders, "SILENT_MS", value_ms)
    monkeypatch.setattr(passingclient, "CONNECT_TIMEOUT_MS", value_ms)
    monkeypatch.setattr(passingclient, "GREETING_TIMEOUT_MS", value_ms)


@pytest.fixture
def daemons(fleet):
    """Three daemons in the order in which they may hold the primary's links."""
    return fleet.start_sharing("d1", "d2", "d3")


ODD_REPLIES = [
    [9],
    [-1],
    [0, 0, 0, "", [], 2**64 - 1],
    [0, 0, 0, "", [], 1, 1, 9],
    [0, 0, 0, "", [], 1, 1, 0, 99],
    [1, 0, 0, "", [], 0, 0, 0, 0, "", 0, 99_999],
    [1, 0, 0, "", [], 0, 0, 0, 0, "", 0, 101, 9],
    [1, 0, 0, "", [], 0, 0, 0, 0, "", 0, 101, 0, -1],
]


@pytest.mark.parametrize("fields", ODD_REPLIES)
def test_reply_that_says_nothing_known_is_refused(fields):
    """Guards against sessions that end without an answer, by an error in their task."""
    with pytest.raises(ValueError):
        decoding.decode(msgspec.msgpack.Decoder(Reply), msgspec.msgpack.encode(fields))


def open_at(fleet, daemon, database=STRICT):
    return open_session(fleet, database, name=fleet.name_of(daemon))


def count_passes(daemon, outcome):
    passes = daemon.counters._counts.get("passes", {})
    return passes.get((("outcome", outcome),), 0)


class TestMessages:
    @pytest.mark.parametrize(
        "answer",
        [
            Answer(),
            Answer(("a", "b"), "s", None, "", TransactionState.OPEN, Position(0, 7)),
            Answer(fault=Fault.LOST, detail="gone", state=TransactionState.FAILED),
        ],
    )
    def test_answers_arrive_as_they_were(self, answer):
        """Guards against fields that are lost as empty ones are left out."""
        assert decode(make_answer_reply(answer, False)).find_answer() == answer

    def test_refusals_arrive_as_they_were(self):
        """Guards against a refusal whose promise changes on its way."""
        refusal = refuse_no_primary()
        assert decode(make_refusal_reply(refusal)).find_refusal() == refusal

    @pytest.mark.parametrize(
        "reply",
        [
            [9],
            [0, 0, 0, "", [], 0, 0, 9],
            [0, 0, 0, "", [], 0, 0, -1],
            [0, 0, 0, "", [], 0, 0, 0, 99],
            [1, 0, 0, "", [], 0, 0, 0, 0, "", 0, 9999],
            [1, 0, 0, "", [], 0, 0, 0, 0, "", 0, 0, -1],
        ],
        ids=["outcome", "state", "negative state", "fault", "code", "ran"],
    )
    def test_numbers_of_a_reply_out_of_range_are_refused(self, reply):
        """Guards against a number that ends a caller's session or means another."""
        with pytest.raises(msgspec.ValidationError):
            msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=Reply)

    @pytest.mark.parametrize(
        "request_data", [[9], [3, "i", "FETCH a", 99], [0, "i", "t", -1]]
    )
    def test_numbers_of_a_request_out_of_range_are_refused(self, request_data):
        """Guards against an unknown request that runs as a statement."""
        with pytest.raises(msgspec.ValidationError):
            msgspec.msgpack.decode(msgspec.msgpack.encode(request_data), type=Request)


def decode(reply: Reply) -> Reply:
    return msgspec.msgpack.decode(encode_frame(reply)[4:], type=Reply)


class TestWarmLinks:
    def test_many_statements_of_many_daemons_use_one_link(self, fleet, daemons):
        """Guards against a connection that is opened for each statement."""
        holder, *origins = daemons
        opened = holder.pool.opened
        callers = [open_at(fleet, origin) for origin in origins]
        for number in range(10):
            for caller in callers:
                run_ok(caller, f"STORE a {number}")
                assert run_ok(caller, "FETCH a").rows == [str(number)]
        assert holder.pool.opened - opened <= 2
        assert [count_passes(origin, "answered") for origin in origins] == [20, 20]
        assert all(origin.pool.count_open(PRIMARY) == 0 for origin in origins)

    def test_sessions_keep_their_values_and_prepared_statements(self, fleet, daemons):
        """Guards against a session's state that reaches another one at the holder."""
        first, second = (open_at(fleet, origin) for origin in daemons[1:])
        run_ok(first, "SET zone north")
        run_ok(first, "PARSE s STORE q1")
        run_ok(second, "PARSE s FETCH q2")
        run_ok(first, "EXECUTE s a 5")
        assert run_ok(second, "EXECUTE s a").rows == ["5"]
        values = [run.values for run in fleet.platform.group.runs]
        assert values == [(("zone", "north"),), ()]

    def test_shape_with_blanks_stays_whole_at_the_holder(self, fleet, daemons):
        """Guards against an origin's shape that is read as fields at the instance."""
        first, second = (open_at(fleet, origin) for origin in daemons[1:])
        run_ok(first, "PARSE s FETCH q1")
        run_ok(first, "EXECUTE s a")
        run_ok(second, "PARSE s FETCH q1 FETCH q2")
        run_ok(second, "EXECUTE s a")
        run_ok(first, "EXECUTE s a")
        shapes = [run.shape for run in fleet.platform.group.runs]
        assert shapes == ["FETCH q1", "FETCH q1 FETCH q2", "FETCH q1"]
        assert all(len(text.split()) == 3 for text in fleet.runs)

    def test_long_session_values_make_no_holder_look_failing(self, fleet, daemons):
        """Guards against a frame that the holder refuses for its size."""
        holder, _, origin = daemons
        caller = open_at(fleet, origin)
        for number in range(3):
            caller.query(f"SET v{number} {'x' * 1_000_000}")
        run_ok(caller, "FETCH row")
        assert count_passes(origin, "lost") == 0
        assert count_passes(origin, "answered") == 1

    def test_long_statement_makes_no_holder_avoid_its_instance(self, fleet, daemons):
        """Guards against a caller that makes an instance look failing at its holder."""
        holder, _, origin = daemons
        caller = open_at(fleet, origin)
        run_ok(caller, "PARSE s FETCH q")
        prefix = "QUERY x EXECUTE s "
        caller.send(prefix + "x" * (MAX_LINE_BYTES - len(prefix)))
        assert caller.read_reply().error == "PROTOERR"
        run_ok(caller, "FETCH row")
        assert holder.placement.view_of(PRIMARY).failures == 0
        assert count_passes(origin, "answered") == 1

    @pytest.mark.parametrize(("count", "error"), [(3, ""), (17, "FAILED")])
    def test_long_answer_makes_no_holder_look_failing(
        self, fleet, daemons, monkeypatch, count, error
    ):
        """Guards against a holder that is avoided for the rows of one answer."""
        holder, _, origin = daemons
        caller = open_at(fleet, origin)
        run_ok(caller, "FETCH row")
        rows = tuple("x" * 1_000_000 for _ in range(count))
        monkeypatch.setattr(
            passingserver,
            "make_answer_reply",
            lambda answer, is_silent: make_answer_reply(
                answer._replace(rows=rows), is_silent
            ),
        )
        assert caller.query("FETCH row").error == error
        monkeypatch.undo()
        run_ok(caller, "FETCH row")
        assert count_passes(origin, "answered") == 3
        assert count_passes(origin, "lost") == 0

    def test_the_stand_by_leaves_the_connections_to_the_holder(self, fleet, daemons):
        """Guards against two daemons that keep more links than an instance accepts."""
        entry = daemons[0].directory.instances[PRIMARY]
        kept = [one.executor.max_idle_links(entry) for one in daemons]
        assert kept[0] > 2 * kept[1]
        assert sum(kept) < fleet.platform.group.max_links
        closed_ms = [one.executor.find_idle_close_ms(entry) for one in daemons[:2]]
        assert closed_ms[0] > closed_ms[1]

    def test_few_daemons_keep_their_own_links(self, fleet):
        """Guards against statements that are passed on where links are plenty."""
        fleet.start_ready("d1", "d2")
        run_ok(open_session(fleet, STRICT, name="d2"), "STORE a 1")
        assert all(count_passes(one, "answered") == 0 for one in fleet.daemons.values())


class TestTransactions:
    def test_a_transaction_commits_at_the_holder(self, fleet, daemons):
        """Guards against a transaction whose statements go different ways."""
        caller = open_at(fleet, daemons[1], OWN)
        run_ok(caller, "BEGIN")
        run_ok(caller, "STORE a 1")
        assert run_ok(caller, "FETCH a").error == ""
        run_ok(caller, "STORE b 2")
        run_ok(caller, "COMMIT")
        assert [len(commit.changes) for commit in fleet.primary.log] == [2]
        assert run_ok(caller, "FETCH b").rows == ["2"]

    def test_a_rolled_back_transaction_leaves_nothing_and_a_warm_link(
        self, fleet, daemons
    ):
        """Guards against a link that is closed, or kept open, by a rollback."""
        caller = open_at(fleet, daemons[1])
        opened = daemons[0].pool.opened
        for _ in range(3):
            run_ok(caller, "BEGIN")
            run_ok(caller, "STORE a 1")
            run_ok(caller, "ROLLBACK")
        assert fleet.primary.log == []
        assert daemons[0].pool.opened - opened <= 1

    def test_a_refused_statement_leaves_no_transaction_open(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against the next caller's statements in another's transaction."""
        holder = daemons[0]
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "BEGIN")
        run_ok(caller, "STORE a 1")
        refusal = refuse_no_primary()
        with monkeypatch.context() as patch:
            patch.setattr(holder.executor, "_acquire_slot", lambda *_: refusal)
            assert caller.query("STORE a 2").error == "RETRY"
        run_ok(caller, "ROLLBACK")
        assert holder._passing_server.count_busy() == 0
        run_ok(caller, "STORE b 1")
        assert fleet.runs == ["STORE a 1", "STORE b 1"]
        assert holder.pool.count_idle() >= 1

    def test_a_statement_sent_with_a_refused_begin_doesnt_run(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against a statement that runs outside its transaction."""
        refusal = refuse_no_primary()
        for daemon in daemons:
            monkeypatch.setattr(daemon.executor, "begin", lambda *_: refusal)
        caller = open_at(fleet, daemons[2])
        run_ok(caller, "BEGIN")
        assert caller.query("STORE a 1").error == "RETRY"
        assert fleet.runs == []

    def test_the_first_statement_tells_of_the_log_as_of_its_sending(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against a sample that claims to be newer than the log that it saw.

        The statement has run before its reply is asked for. A commit in between would
        be missed by later reads at replicas.
        """
        runner = daemons[1].runner
        run = runner.run_in_transaction
        asked_ms = []

        def ask_late(*arguments):
            asked_ms.append(fleet.runtime.clock.now_ms())
            fleet.runtime.clock.sleep_ms(100)
            return run(*arguments)

        monkeypatch.setattr(runner, "run_in_transaction", ask_late)
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "BEGIN")
        run_ok(caller, "STORE a 1")
        sample = daemons[1].placement.positions_of(SERVICE).newest_own
        assert sample.at_ms <= asked_ms[0]

    def test_a_refused_begin_keeps_the_connection(self, fleet, daemons, monkeypatch):
        """Guards against a connection opened anew for each refusal of a full holder."""
        holder, origin = daemons[0], daemons[1]
        caller = open_at(fleet, origin)
        run_ok(caller, "STORE a 1")
        refusal = refuse_no_primary()._replace(code=Code.QUEUE_FULL)
        monkeypatch.setattr(holder.executor, "begin", lambda *_: refusal)
        run_ok(caller, "BEGIN")
        assert caller.query("STORE b 1").error == "RETRY"
        assert origin.passing_client.count_idle() == 1
        run_ok(caller, "ROLLBACK")
        run_ok(caller, "STORE c 1")
        assert fleet.runs == ["STORE a 1", "STORE c 1"]

    def test_the_end_of_the_origin_rolls_back(self, fleet, daemons):
        """Guards against a transaction that stays open when its origin is killed."""
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "BEGIN")
        run_ok(caller, "STORE a 1")
        server = daemons[0]._passing_server
        assert server.count_busy() == 1
        fleet.kill(daemons[1])
        fleet.wait(lambda: server.count_busy() == 0, "its session has ended")
        fleet.wait(lambda: daemons[0].pool.count_idle() == 1, "it is rolled back")
        assert fleet.primary.log == []

    def test_the_end_of_the_holder_ends_the_transaction(self, fleet, daemons):
        """Guards against a commit that is reported though its transaction is lost."""
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "BEGIN")
        run_ok(caller, "STORE a 1")
        fleet.kill(daemons[0])
        assert caller.query("STORE b 1").error == "ABORTED"
        run_ok(caller, "ROLLBACK")
        run_ok(caller, "STORE c 1")
        assert fleet.runs == ["STORE a 1", "STORE c 1"]

    def test_a_statement_whose_holder_ends_ends_the_transaction(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against a caller that isn't told to begin its transaction again."""
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "BEGIN")
        run_ok(caller, "STORE a 1")
        cut_before_reply(monkeypatch)
        assert caller.query("STORE b 1").error == "ABORTED"
        assert fleet.primary.log == []

    def test_the_first_statement_has_the_time_that_opening_left(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against work for a caller that the origin has given up."""
        server = daemons[0]._passing_server
        begin, make_job, left_ms = server.begin, server.make_job, []

        def begin_slowly(request):
            fleet.runtime.clock.sleep_ms(100)
            return begin(request)

        def record_left(request, service, workspace):
            left_ms.append(request.left_ms)
            return make_job(request, service, workspace)

        monkeypatch.setattr(server, "begin", begin_slowly)
        monkeypatch.setattr(server, "make_job", record_left)
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "BEGIN")
        run_ok(caller, "STORE a 1")
        assert left_ms[1] <= left_ms[0] - 100

    def test_a_begin_without_an_answer_isnt_sent_again(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against a first statement that runs in two transactions."""
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "STORE a 1")
        cut_before_reply(monkeypatch)
        run_ok(caller, "BEGIN")
        assert caller.query("STORE a 2").error == "ABORTED"
        assert fleet.runs.count("STORE a 2") <= 1

    def test_a_commit_whose_holder_ends_is_in_doubt(self, fleet, daemons, monkeypatch):
        """Guards against a commit that is said not to have run, and did."""
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "BEGIN")
        run_ok(caller, "STORE a 1")
        cut_before_reply(monkeypatch)
        assert caller.query("COMMIT").error == "INDOUBT"
        assert len(fleet.primary.log) == 1

    def test_a_resting_transaction_is_ended_by_the_holder(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against links that an unreachable origin's transactions keep."""
        server = daemons[0]._passing_server
        monkeypatch.setattr(server, "find_rest_ms", lambda: 50)
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "BEGIN")
        run_ok(caller, "STORE a 1")
        fleet.wait(lambda: server.count_busy() == 0, "it is rolled back")
        assert caller.query("COMMIT").error == "ABORTED"
        assert fleet.primary.log == []


def cut_before_reply(monkeypatch):
    """Let holders end each connection when they should reply to a request."""
    send = passingserver.PassedSession._send
    greeting = encode_frame(Reply())

    def cut(session, reply):
        if encode_frame(reply) != greeting:
            raise OSError("cut by the test")
        send(session, reply)

    monkeypatch.setattr(passingserver.PassedSession, "_send", cut)


class TestHolderFails:
    def test_a_killed_holder_is_passed_over(self, fleet, daemons):
        """Guards against callers that wait for a daemon that is gone."""
        caller = open_at(fleet, daemons[2])
        run_ok(caller, "STORE a 1")
        fleet.kill(daemons[0])
        for number in range(5):
            run_ok(caller, f"STORE b{number} 1")
        assert len(fleet.runs) == 6
        assert count_passes(daemons[2], "answered") >= 4

    def test_a_write_whose_holder_ends_is_in_doubt_and_not_repeated(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against a write that runs twice as its holder is gone."""
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "STORE a 1")
        cut_before_reply(monkeypatch)
        fleet.wait(lambda: daemons[1].passing_client.count_idle() == 1, "kept")
        assert caller.query("STORE a 2").error == "INDOUBT"
        assert fleet.runs == ["STORE a 1", "STORE a 2"]
        # The instance is well: nothing may make it look like a silent one.
        assert daemons[1].placement.list_silent() == {}

    def test_a_read_whose_holder_ends_is_tried_another_way(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against reads that fail though the instance is well."""
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "STORE a 1")
        cut_before_reply(monkeypatch)
        assert run_ok(caller, "FETCH a").rows == ["1"]

    def test_a_read_isnt_kept_waiting_by_a_frozen_holder(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against reads that fail as their holder freezes while they wait."""
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "STORE a 1")
        set_patience(monkeypatch, 100)
        monkeypatch.setattr(daemons[0]._passing_server, "run_single", hang)
        assert run_ok(caller, "FETCH a").rows == ["1"]

    def test_a_holder_that_gives_no_first_frame_gets_nothing(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against statements in doubt at a holder whose process is frozen."""
        set_patience(monkeypatch, 100)
        monkeypatch.setattr(passingserver.PassedSession, "run", hang)
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "STORE a 1")
        assert fleet.runs == ["STORE a 1"]
        assert daemons[1].pool.opened > 0

    def test_new_statements_pass_a_holder_that_stopped_answering(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against a frozen holder that everybody waits for."""
        server = daemons[0]._passing_server
        first, second = (open_at(fleet, daemons[2]) for _ in range(2))
        run_ok(first, "STORE a 1")
        set_patience(monkeypatch, 100)
        monkeypatch.setattr(server, "run_single", hang)
        waiting = fleet.runtime.start(first.query, "STORE a 2")
        clock = fleet.runtime.clock
        fleet.wait(
            lambda: daemons[2].holders.view_of(fleet.name_of(daemons[0])).calls,
            "the call is in progress",
        )
        clock.sleep_ms(400)
        began_ms = clock.now_ms()
        run_ok(second, "STORE b 1")
        assert clock.now_ms() - began_ms < 400
        assert waiting.result(5).error in ("INDOUBT", "TIMEOUT")

    def test_a_holder_without_a_proof_takes_nothing(self, fleet, daemons, monkeypatch):
        """Guards against callers refused for what only the holder lacks."""
        monkeypatch.setattr(daemons[0].guard, "has_proof", lambda: False)
        caller = open_at(fleet, daemons[2])
        run_ok(caller, "STORE a 1")
        assert count_passes(daemons[2], "elsewhere") == 1

    def test_an_instance_that_the_holder_cant_reach_is_reached_directly(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against callers refused while only the holder is cut off."""

        def fail(*_):
            raise OSError("cut off by the test")

        for daemon in daemons[:2]:
            monkeypatch.setattr(daemon._runtime, "dial", fail)
        caller = open_at(fleet, daemons[2])
        run_ok(caller, "STORE a 1")
        assert daemons[2].pool.opened == 1

    def test_an_origin_that_cant_reach_the_instance_is_served(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against callers refused though a peer reaches the instance."""
        dial = daemons[2]._runtime.dial

        def fail_at_instances(address, *arguments):
            if address == fleet.primary.address:
                raise OSError("cut off by the test")
            return dial(address, *arguments)

        monkeypatch.setattr(daemons[2]._runtime, "dial", fail_at_instances)
        run_ok(open_at(fleet, daemons[2]), "STORE a 1")

    def test_too_many_connections_are_refused_before_anything_is_sent(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against a holder that runs out of tasks, and writes in doubt."""
        monkeypatch.setattr(passingserver, "MAX_CONNECTIONS", 0)
        run_ok(open_at(fleet, daemons[2]), "STORE a 1")
        assert count_passes(daemons[2], "unreachable") == 1

    def test_another_run_of_the_instance_isnt_taken_for_it(self, fleet, daemons):
        """Guards against a statement at an instance that restarted meanwhile."""
        reply = daemons[0]._passing_server.run_single(
            Request(Kind.SINGLE, instance=PRIMARY, born_ms=99)
        )
        assert reply.outcome == Outcome.ELSEWHERE

    def test_a_stopping_holder_serves_and_is_left(self, fleet, daemons):
        """Guards against calls that are cut when a holder stops."""
        caller = open_at(fleet, daemons[2])
        run_ok(caller, "STORE a 1")
        name = fleet.name_of(daemons[0])
        stopped = fleet.runtime.start(daemons[0].stop)
        fleet.wait(lambda: daemons[2].heartbeats.is_leaving(name), "it is known")
        for number in range(20):
            run_ok(caller, f"STORE b{number} 1")
            fleet.runtime.clock.sleep_ms(10)
        passed = daemons[1]._passing_server.count_sessions()
        assert passed == 1
        stopped.result(10)

    @pytest.mark.parametrize(("after_end_ms", "error"), [(-200, ""), (50, "ABORTED")])
    def test_commit_at_a_holder_that_ends_has_a_known_outcome(
        self, fleet, daemons, after_end_ms, error
    ):
        """Guards against commits cut by the end of the holder's process."""
        holder = daemons[0]
        caller = open_at(fleet, daemons[2])
        run_ok(caller, "BEGIN")
        run_ok(caller, "STORE a 1")
        assert holder._passing_server.count_busy() == 1
        fleet.primary.work_ms = 400
        grace_ms = holder._settings.grace_ms
        stop = fleet.runtime.start(holder.stop)
        fleet.runtime.clock.sleep_ms(END_FRACTION * grace_ms + after_end_ms)
        commit = fleet.runtime.start(caller.query, "COMMIT")
        stop.result(grace_ms / 1000)
        fleet.kill(holder)
        assert commit.result(5).error == error
        assert bool(fleet.primary.log) == (not error)

    def test_the_stores_outage_changes_nothing(self, fleet, daemons):
        """Guards against a part that asks the store while a statement waits."""
        fleet.store.outage = True
        caller = open_at(fleet, daemons[2])
        for number in range(5):
            run_ok(caller, f"STORE a {number}")
        assert count_passes(daemons[2], "answered") == 5


def hang(*_):
    """Give no answer for longer than any caller waits."""
    Clock().sleep_ms(3000)
    raise OSError("hung")


class TestInstanceFails:
    def test_silence_of_the_instance_is_known_at_the_origin(self, fleet, daemons):
        """Guards against a dead primary that few daemons notice."""
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "STORE a 1")
        fleet.primary.silent = True
        assert caller.query("STORE a 2").error in ("TIMEOUT", "INDOUBT")
        assert set(daemons[1].placement.list_silent()) == {PRIMARY}
        fleet.primary.silent = False

    def test_an_answer_is_returned_while_all_slots_are_taken(self, fleet, daemons):
        """Guards against an answer that is lost as the wait for a slot is told."""
        queue = daemons[0].executor.queue_of(SERVICE)
        slots = queue._slots[PRIMARY]
        for _ in range(slots - 1):
            queue.acquire_endpoint("north", (PRIMARY,), queue._clock.now_ms() + 1_000)
        caller = open_at(fleet, daemons[1])
        answers = [run_ok(caller, f"STORE a {number}") for number in range(3)]
        assert len(answers) == len(fleet.runs) == 3
        assert count_passes(daemons[1], "answered") == 3
        queue.acquire_endpoint("north", (PRIMARY,), queue._clock.now_ms() + 1_000)
        assert queue.estimate_endpoint_wait(PRIMARY) > 0

    def test_an_instance_that_only_the_holder_finds_silent_is_asked_directly(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against a healthy primary that a cut-off holder hides from all."""
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "STORE a 1")
        executor = daemons[0].executor
        monkeypatch.setattr(executor, "is_unresponsive", lambda instance_id: True)
        run_ok(caller, "STORE a 2")
        assert daemons[1].pool.opened > 0

    def test_a_rollback_says_nothing_of_the_instance(self, fleet, daemons):
        """Guards against a dead primary whose failures are forgotten."""
        caller = open_at(fleet, daemons[1])
        run_ok(caller, "BEGIN")
        run_ok(caller, "STORE a 1")
        view = daemons[1].placement.view_of(PRIMARY)
        view.failures = 1
        run_ok(caller, "ROLLBACK")
        assert view.failures == 1

    def test_reads_pass_on_to_another_replica_when_one_is_full(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against reads refused by one instance while another is free."""
        caller = open_at(fleet, daemons[2], AGED)
        run_ok(caller, "FETCH a")
        for daemon in daemons:
            acquire = daemon.executor._acquire_slot

            def refuse_first(job, candidates, acquire=acquire):
                if candidates == (f"{SERVICE}-1",):
                    return refuse_no_primary()._replace(code=Code.QUEUE_FULL)
                return acquire(job, candidates)

            monkeypatch.setattr(daemon.executor, "_acquire_slot", refuse_first)
        for _ in range(10):
            run_ok(caller, "FETCH a")


class TestPrimaryGuard:
    def test_the_holder_counts_the_statement_as_in_progress(self, fleet, daemons):
        """Guards against a primary that is replaced while a passed-on write runs."""
        holder, origin = daemons[0], daemons[1]
        fleet.primary.work_ms = 150
        caller = open_at(fleet, origin)
        writing = fleet.runtime.start(caller.query, "STORE a 1")
        fleet.wait(lambda: not holder.guard.is_idle(SERVICE), "it is in progress")
        assert origin.guard.is_idle(SERVICE)
        assert writing.result(5).error == ""
        assert holder.guard.is_idle(SERVICE)

    def test_a_write_that_ends_after_the_holders_proof_is_in_doubt(
        self, fleet, daemons, monkeypatch
    ):
        """Guards against an acknowledged write at a primary that was replaced."""
        holder = daemons[0]
        fleet.primary.work_ms = 150
        caller = open_at(fleet, daemons[1])
        writing = fleet.runtime.start(caller.query, "STORE a 1")
        fleet.wait(lambda: not holder.guard.is_idle(SERVICE), "it is in progress")
        monkeypatch.setattr(holder.guard, "proof_age_ms", lambda: LEASE_MS + 1)
        assert writing.result(5).error == "INDOUBT"

    @pytest.mark.parametrize("when", ["before", "meanwhile"])
    def test_a_read_sees_nothing_of_a_primary_that_was_replaced(
        self, fleet, daemons, monkeypatch, when
    ):
        """Guards against a read that an origin behind on changes sends there."""
        holder = daemons[0]
        server = holder._passing_server
        entry = holder.directory.instances[PRIMARY]
        record = make_primary_record(9, settled=False, deposed=PRIMARY)
        run = holder.executor.run_single

        def run_while_replaced(*arguments):
            outcome = run(*arguments)
            holder.directory.set_primary_record(record)
            return outcome

        if when == "before":
            holder.directory.set_primary_record(record)
        monkeypatch.setattr(holder.executor, "run_single", run_while_replaced)
        request = Request(
            Kind.SINGLE,
            "q1",
            "FETCH a",
            Verb.READ.value,
            1000,
            1000,
            instance=PRIMARY,
            born_ms=entry.born_ms,
            workspace="north",
            floor_term=1,
        )
        assert server.run_single(request).outcome == Outcome.REPLACED
        assert len(fleet.runs) == (0 if when == "before" else 1)

    def test_a_planned_change_loses_no_passed_on_write(self, fleet, daemons):
        """Guards against writes that are lost as a primary is replaced."""
        callers = [open_at(fleet, daemon) for daemon in daemons]
        run_ok(callers[0], "STORE a 0")
        fleet.primary.leaving = True
        fleet.platform.register(fleet.primary)
        acknowledged = []
        for number in range(60):
            reply = callers[number % 3].query(f"STORE k{number} 1")
            if reply.error == "":
                acknowledged.append(f"k{number}")
            fleet.runtime.clock.sleep_ms(20)
        assert fleet.platform.group.promotions
        leader = next(
            one for one in fleet.platform.group.instances.values() if one.is_primary
        )
        kept = {item for commit in leader.log for item, _ in commit.changes}
        assert set(acknowledged) <= kept
        assert len(acknowledged) >= 40
