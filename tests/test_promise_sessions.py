"""Reads see their session's writes, and no data older than their callers accept."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bronzerelay.codes import NOT_RUN, Code
from bronzerelay.dialect import StatusAnswer
from bronzerelay.runtime import Address
from bronzerelay.types import GroupSpec
from bronzerelay.watch import GroupWatch
from standins.naive import NaiveStore
from tests.endpoints import NAMES, add, get, make_spec, open_runtime, wait_until
from tests.nodes import Deployment, Node, make_work, open_deployment

ROUNDS = 25


class Session:
    """A caller that sends its session token to whatever daemon it uses."""

    def __init__(self):
        self.token = ""

    def send(self, node: Node, statement: dict, **fields):
        result = node.send(statement=statement, session=self.token, **fields)
        if result.is_ok():
            self.token = result.ok.get("session", self.token)
        return result


def set_lag(deployment: Deployment, lag_ms: float, *names: str) -> None:
    for name in names or NAMES:
        deployment.group.admin(name, "set", lag_ms=lag_ms)


def wait_replaced(deployment: Deployment, former: str) -> None:
    """Wait until every daemon knows a primary other than `former`."""
    watches = [node.groups.find("orders").components.watch for node in deployment.nodes]
    wait_until(
        deployment.runtime,
        lambda: all(watch.primary() not in (None, former) for watch in watches),
    )


# Read-your-writes


@pytest.mark.parametrize("lags", [(5, 60), (60, 60), (5, 400)])
def test_session_reads_its_own_writes(lags):
    """Replicas lag, and the next request of a session goes through another daemon.

    Without the session token the read could miss the session's last write.
    """
    with open_deployment(3) as deployment:
        deployment.warm_up()
        for name, lag_ms in zip(NAMES[1:], lags, strict=True):
            set_lag(deployment, lag_ms, name)
        session = Session()
        roles = []
        for number in range(1, 9):
            node = deployment.nodes[number % 3]
            assert session.send(node, add("tray", 1)).ok["value"] == number
            answer = session.send(deployment.nodes[(number + 1) % 3], get("tray")).ok
            assert answer["value"] == number
            roles.append(answer["role"])
        assert roles.count("replica") >= 6


def test_session_holds_across_a_failover():
    """The primary freezes after it acknowledged a write; one replica lags far behind.

    A read of the same session must not be served by the replica that lacks the write.
    """
    with open_deployment(3) as deployment:
        deployment.warm_up()
        set_lag(deployment, 5, "orders-2")
        set_lag(deployment, 1500, "orders-3")
        session = Session()
        # The replica's current pull still uses the previous lag.
        assert session.send(deployment.nodes[0], add("other", 1)).is_ok()
        assert session.send(deployment.nodes[0], add("tray", 1)).is_ok()
        deployment.group.admin("orders-1", "freeze")
        for number in range(ROUNDS):
            result = session.send(deployment.nodes[number % 3], get("tray"))
            assert result.is_ok() and result.ok["value"] == 1
        wait_replaced(deployment, "orders-1")
        deployment.group.admin("orders-1", "thaw")
        for number in range(ROUNDS):
            result = session.send(deployment.nodes[number % 3], get("tray"))
            assert result.is_ok() and result.ok["value"] == 1


def test_what_a_read_returned_does_not_vanish():
    """A primary that is cut off from its replicas holds an unacknowledged write.

    If a caller read it there, it would see it vanish when the primary is replaced.
    """
    with open_deployment(2) as deployment:
        deployment.warm_up()
        deployment.group.admin("orders-1", "cut", names=NAMES[1:])
        writing = deployment.runtime.start(
            lambda: deployment.nodes[0].send(statement=add("tray", 1))
        )
        wait_until(deployment.runtime, lambda: deployment.read_row("tray"))
        session = Session()
        first = session.send(deployment.nodes[1], get("tray"), max_age_ms=0)
        writing.result()
        wait_replaced(deployment, "orders-1")
        later = session.send(deployment.nodes[1], get("tray"))
        seen = first.ok["value"] if first.is_ok() else None
        assert (later.ok["value"] or 0) >= (seen or 0)


# Reads of a stated age


@pytest.mark.parametrize(
    ("lag_ms", "max_age_ms"), [(150, 0), (150, 60), (150, 400), (500, 1000)]
)
def test_no_read_is_older_than_stated(lag_ms, max_age_ms):
    """A replica lags behind while a caller writes all the time.

    A read with a maximum age must not return older data, and must be served by the
    replica as long as its data is recent enough.
    """
    with open_deployment(2) as deployment:
        deployment.warm_up()
        set_lag(deployment, lag_ms, "orders-2")
        # The replica that keeps up makes the writes quick; it has no slots for reads.
        set_lag(deployment, 5, "orders-3")
        for node in deployment.nodes:
            slots = node.groups.find("orders").components.slots
            slots.set_endpoints({"orders-1": 3, "orders-2": 3})
        clock = deployment.runtime.clock
        acknowledged = []
        end_ms = clock.now_ms() + lag_ms + 700

        def write() -> None:
            while clock.now_ms() < end_ms:
                result = deployment.nodes[0].send(statement=add("returns", 1))
                acknowledged.append((clock.now_ms(), result.ok["value"]))

        writing = deployment.runtime.start(write)
        roles = []
        while clock.now_ms() < end_ms:
            oldest_ms = clock.now_ms() - max_age_ms
            needed = [value for at_ms, value in acknowledged if at_ms <= oldest_ms]
            result = deployment.nodes[1].send(
                statement=get("returns"), max_age_ms=max_age_ms
            )
            assert (result.ok["value"] or 0) >= max(needed, default=0)
            roles.append(result.ok["role"])
        writing.result()
        assert len(acknowledged) >= 20
        if max_age_ms > 2 * lag_ms:
            assert roles.count("replica") >= len(roles) * 0.8


def test_busy_primary_keeps_proofs_for_slow_replicas():
    """The primary runs a thousand writes per second, and a replica is 1 s behind.

    Its data is recent enough. If the daemon no longer had the primary's position of a
    second ago, it couldn't prove that, and all reads would go to the primary.
    """
    with open_runtime() as runtime:
        runtime.start = lambda *_: None
        endpoint = make_spec(Address("127.0.0.1", 1), "orders-1")
        replica = endpoint._replace(name="orders-2")
        spec = GroupSpec("orders", (endpoint, replica), 10_000)
        watch = GroupWatch(runtime, spec, None, 100)
        start_ms = runtime.clock.now_ms() - 2000
        for step in range(2000):
            status = StatusAnswer(1, "primary", 1, step)
            watch._record_answer(endpoint, status, start_ms + step)
        status = StatusAnswer(1, "replica", 1, 1000)
        watch._record_answer(replica, status, start_ms + 2000)
        assert 1000 <= watch.proven_age_ms("orders-2") < 1000 + 100
        assert watch.proven_age_ms("orders-1") < 100


def test_former_primary_proves_no_freshness():
    """A daemon reaches only the former primary, which doesn't know its successor.

    Reads with a maximum age of 200 ms must not return its outdated data for as long as
    the partition lasts.
    """
    with open_deployment(2) as deployment:
        deployment.warm_up()
        cut_off, other = deployment.ranked
        deployment.group.admin(
            "orders-1", "cut", names=["orders-2", "orders-3", other.name]
        )
        for name in NAMES[1:]:
            cut_off.relays[name].refuse()
        watch = other.groups.find("orders").components.watch
        wait_until(
            deployment.runtime, lambda: watch.primary() not in (None, "orders-1")
        )
        written = other.groups.find("orders").write(make_work(other, add("returns", 1)))
        assert written.is_ok()
        deployment.runtime.sleep_ms(250)
        result = cut_off.send(statement=get("returns"), max_age_ms=200)
        assert not result.is_ok() or result.ok["value"] == 1
        alone = cut_off.kernel.run_here(
            make_work(cut_off, get("returns"), max_age_ms=200), settle=False
        )
        assert alone.error.ran == NOT_RUN
        assert alone.error.code in (Code.TOO_STALE, Code.ENDPOINT_UNREACHABLE)


# Against the naive store

NUMBERS = st.integers(0, 2)
ROWS = st.sampled_from(["trays", "diets"])
STATEMENTS = st.one_of(
    st.fixed_dictionaries({"verb": st.just("append"), "row": ROWS}),
    st.just(add("count", 1)),
    st.builds(get, st.sampled_from(["trays", "diets", "count"])),
)
AGES = st.sampled_from([None, None, 0, 30, 200])
STEPS = st.one_of(
    st.tuples(st.just("run"), NUMBERS, NUMBERS, STATEMENTS, AGES),
    st.tuples(st.just("lag"), st.sampled_from(NAMES), st.sampled_from([0, 20, 90])),
)


class Model:
    """The naive store with its history, and what each session has seen of it.

    `floors` are the indexes of the oldest states that each session may still see.
    """

    def __init__(self, deployment: Deployment, prefix: str):
        self.deployment = deployment
        self.prefix = prefix
        self.store = NaiveStore(deployment.runtime)
        self.history = [(deployment.runtime.clock.now_ms(), {})]
        self.sessions = [Session() for _ in range(3)]
        self.floors = [0, 0, 0]

    def run(self, number: int, node: int, statement: dict, max_age_ms) -> None:
        statement = {**statement, "row": self.prefix + statement["row"]}
        if statement["verb"] == "append":
            statement["value"] = len(self.history)
        has_age = statement["verb"] == "get" and max_age_ms is not None
        fields = {"max_age_ms": max_age_ms} if has_age else {}
        sent_ms = self.deployment.runtime.clock.now_ms()
        answer = self.send(number, node, statement, fields)
        if statement["verb"] == "get":
            since_ms = sent_ms - fields.get("max_age_ms", 10_000)
            self.check_read(number, statement["row"], answer["value"], since_ms)
            return
        assert answer["value"] == self.store.run(statement)
        now_ms = self.deployment.runtime.clock.now_ms()
        self.history.append((now_ms, self.store.read_rows()))
        self.floors[number] = len(self.history) - 1

    def send(self, number: int, node: int, statement: dict, fields: dict) -> dict:
        """Return the answer; retry a statement that hasn't run, as a caller would."""
        while True:
            session = self.sessions[number]
            result = session.send(self.deployment.nodes[node], statement, **fields)
            if result.is_ok():
                return result.ok
            assert result.error.ran == NOT_RUN, result.error

    def check_read(self, number: int, row: str, value, since_ms: float) -> None:
        """Check that the value isn't older than its session or maximum age allows."""
        floor = self.floors[number]
        while floor + 1 < len(self.history) and self.history[floor + 1][0] <= since_ms:
            floor += 1
        later = range(floor, len(self.history))
        matching = [
            index for index in later if self.history[index][1].get(row) == value
        ]
        assert matching, f"{row} is {value!r}, which is older than its session"
        self.floors[number] = matching[0]

    def set_lag(self, name: str, lag_ms: float) -> None:
        set_lag(self.deployment, lag_ms, name)

    def fail(self) -> None:
        """Freeze the primary until it is replaced."""
        primary = self.deployment.find_primary()
        self.deployment.group.admin(primary, "freeze")
        wait_replaced(self.deployment, primary)
        self.deployment.group.admin(primary, "thaw")


@pytest.fixture(scope="module")
def deployment():
    with open_deployment(3) as opened:
        opened.warm_up()
        yield opened


@settings(
    derandomize=True,
    deadline=None,
    max_examples=14,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    before=st.lists(STEPS, min_size=5, max_size=12),
    fails=st.booleans(),
    after=st.lists(STEPS, min_size=5, max_size=12),
)
def test_sessions_see_what_the_naive_store_shows(deployment, before, fails, after):
    """Sessions roam, replicas lag as they like, and primaries freeze and come back.

    Beside a store that never lags, a session may be behind, but not behind itself,
    and not behind the age that it asked for.
    """
    prefix = f"{deployment.runtime.clock.now_ms()}/"
    model = Model(deployment, prefix)
    actions = {"run": model.run, "lag": model.set_lag, "fail": model.fail}
    for name, *details in [*before, *[("fail",)] * fails, *after]:
        actions[name](*details)
