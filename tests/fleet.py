"""A simulated fleet of daemons with shares of a rate, on a clock that tests advance."""

from typing import NamedTuple

from bronzerelay.borrowing import Loan
from bronzerelay.buckets import LOAN_LIFE_MS, LoanRequest
from bronzerelay.membership import Membership, MembershipSettings
from bronzerelay.policies import DEFAULT, make_policy
from bronzerelay.runtime import Random
from bronzerelay.sharekeeper import ShareKeeper
from bronzerelay.shares import Shares
from bronzerelay.types import Configuration, WorkspaceSpec

POLICY = make_policy(DEFAULT)
WORKSPACE = "caterer-1"
TOLERANCE = 1e-6
STEP_MS = 50


class Clock:
    """A clock in milliseconds that advances only when a test advances it."""

    def __init__(self):
        self.time_ms = 10_000.0

    def now_ms(self):
        return self.time_ms


class NoLock:
    """Replaces a lock or a condition in tests with a single task."""

    def __enter__(self):
        return self

    def __exit__(self, *_):
        return False

    def notify_all(self):
        return None


class SimulatedRuntime:
    """A runtime whose clock stands still, except that a wait advances it."""

    def __init__(self, clock=None, seed=1):
        self.clock = clock or Clock()
        self.random = Random(seed)

    def make_lock(self):
        return NoLock()

    make_condition = make_lock

    def wait_for(self, condition, predicate, timeout_ms):
        self.clock.time_ms += max(0.0, timeout_ms)
        return predicate()


class Fate(NamedTuple):
    """How a loan call goes: the delay each way, and whether the answer is lost."""

    before_ms: float = 0
    after_ms: float = 0
    lost: bool = False


def ask_for(amount, process="another", number=1, held=0.0):
    return LoanRequest(WORKSPACE, amount, process, number, held)


class Limit(NamedTuple):
    """The largest rate and burst that any daemon applies from `from_ms` on."""

    from_ms: float
    rate: float
    burst: float


def make_spec(rate, burst, name=WORKSPACE):
    return WorkspaceSpec(name, rate, burst, frozenset({"orders"}), {})


def make_roster(epoch, names, settled=False):
    members = [
        {"name": name, "address": "127.0.0.1:1", "failure_domain": "a"}
        for name in sorted(names)
    ]
    roster = {"epoch": epoch, "members": members}
    return {**roster, "settled": True} if settled else roster


class Member:
    """One daemon's membership, its shares, and the keeper that connects them."""

    def __init__(self, fleet, name):
        self.name = name
        self.version = 0
        self.membership = Membership(fleet.runtime, MembershipSettings(name))
        self.shares = Shares(fleet.runtime, name, fleet.make_asker(name), POLICY)
        self.keeper = ShareKeeper(fleet.runtime, self.membership, self.shares)

    def take_roster(self, roster):
        if self.membership.accept_roster(roster):
            self.keeper.apply_roster()

    def take_config(self, version, spec):
        if version > self.version:
            self.version = version
            self.keeper.apply_configuration(
                Configuration(version, "", {}, {spec.name: spec})
            )


class Fleet:
    """Daemons that lend tokens to each other; a real fleet can take each of its steps.

    `spent_ms` holds the times at which tokens were spent. Frozen daemons take no steps,
    and removed daemons never return.
    """

    def __init__(self, names, spec, seed=1):
        self.runtime = SimulatedRuntime(seed=seed)
        self.clock = self.runtime.clock
        self.draw = Random(seed)
        self.fates = lambda: Fate()
        self.epoch = 1
        self.names = set(names)
        self.version = 1
        self.specs = {1: spec}
        self.spent_ms = []
        self.limits = []
        self.members = {}
        self.frozen = set()
        self.depth = 0
        for name in names:
            self.start(name)

    @property
    def roster(self):
        return make_roster(self.epoch, self.names)

    def make_asker(self, borrower):
        def ask(lender, request):
            return self.simulate_loan_call(borrower, lender, request)

        return ask

    def simulate_loan_call(self, borrower, lender, request):
        fate = self.fates()
        self.pass_time(fate.before_ms)
        if lender not in self.members or lender in self.frozen:
            self.pass_time(150)
            return None
        loan = self.members[lender].shares.lend(request)
        # Until the answer arrives, the lender goes on and other daemons borrow from it.
        if fate.after_ms and self.depth < 2:
            self.depth += 1
            self.pass_time(fate.after_ms)
            self.spend(lender, 3)
            self.depth -= 1
        return None if fate.lost else Loan(*loan)

    # Steps

    def pass_time(self, duration_ms):
        self.clock.time_ms += duration_ms

    def start(self, name):
        """Start or restart a daemon; it reads what the platform holds."""
        self.frozen.discard(name)
        self.members[name] = Member(self, name)
        self.learn(name)

    def learn(self, name):
        if name in self.members and name not in self.frozen:
            self.members[name].take_roster(self.roster)
            self.members[name].take_config(self.version, self.specs[self.version])
            self.record_limit()

    def beat(self, sender, receiver):
        """Send a heartbeat from `sender` to `receiver`, and apply the reply."""
        if sender not in self.members or sender in self.frozen:
            return
        if receiver not in self.members or receiver in self.frozen:
            return
        views = self.members[receiver].membership.make_views()
        member = self.members[sender]
        member.membership.merge_reply(views, self.clock.now_ms())
        member.keeper.confirm()

    def beat_all(self):
        """Let all daemons read the platform, then exchange heartbeats in all pairs."""
        for name in sorted(self.members):
            self.learn(name)
        for _ in range(3):
            for sender in sorted(self.members):
                for receiver in sorted(self.members):
                    if sender != receiver:
                        self.beat(sender, receiver)
                self.settle(sender)

    def settle(self, name):
        """Let a daemon confirm its shares without a reply from another one."""
        if name in self.members and name not in self.frozen:
            self.members[name].keeper.confirm()

    def spend(self, name, count):
        """Send `count` requests to a daemon; return how many were admitted."""
        spent = 0
        for _ in range(count):
            if name in self.members and name not in self.frozen:
                spent += self.spend_one(name)
        return spent

    def spend_one(self, name):
        result = self.members[name].shares.spend(WORKSPACE)
        if result.is_ok():
            self.spent_ms.append(self.clock.now_ms())
        return result.is_ok()

    def add(self, name):
        """Add a new VM to the roster and start its daemon."""
        if name not in self.names:
            self.names.add(name)
            self.epoch += 1
            self.start(name)

    def remove(self, name):
        """Remove a VM for good; the roster lists it until its loans have lapsed."""
        if len(self.names) > 1 and name in self.names:
            self.members.pop(name, None)
            self.frozen.discard(name)
            self.pass_time(LOAN_LIFE_MS)
            self.names.discard(name)
            self.epoch += 1

    def set_spec(self, spec):
        """Put another rate and burst in force; daemons learn it when they next read."""
        self.version += 1
        self.specs[self.version] = spec
        self.record_limit()

    # The check

    def record_limit(self):
        """Record the largest limit in force now; loans keep it until they lapse."""
        specs = [self.specs[member.version] for member in self.members.values()]
        specs.append(self.specs[self.version])
        rate = max(spec.rate for spec in specs)
        burst = max(spec.burst for spec in specs)
        self.limits.append(Limit(self.clock.now_ms(), rate, burst))

    def limit_at(self, time_ms):
        """Return the rate and burst that apply at a time, those of loans included."""
        current = [limit for limit in self.limits if limit.from_ms <= time_ms][-1:]
        on_loan = [
            limit
            for number, limit in enumerate(self.limits)
            if limit.from_ms <= time_ms
            and number + 1 < len(self.limits)
            and self.limits[number + 1].from_ms > time_ms - LOAN_LIFE_MS
        ]
        applied = current + on_loan
        return max(each.rate for each in applied), max(each.burst for each in applied)

    def find_excess(self):
        """Return the largest number of tokens by which the fleet exceeded one bucket.

        A bucket that starts full admits exactly what this rule allows: in any window no
        more than the burst plus the rate times the length of the window.
        """
        excess = 0.0
        tokens = None
        last_ms = 0.0
        for time_ms in sorted(self.spent_ms):
            if tokens is None:
                tokens = self.limit_at(time_ms)[1]
                last_ms = time_ms
            changes_ms = [limit.from_ms for limit in self.limits]
            changes_ms += [change_ms + LOAN_LIFE_MS for change_ms in changes_ms]
            changes_ms = sorted(
                change_ms for change_ms in changes_ms if last_ms < change_ms < time_ms
            )
            for end_ms in [*changes_ms, time_ms]:
                rate, burst = self.limit_at((last_ms + end_ms) / 2)
                tokens = min(burst, tokens + max(0.0, end_ms - last_ms) * rate / 1000)
                last_ms = end_ms
            tokens -= 1
            excess = max(excess, -tokens)
        return excess if excess > TOLERANCE else 0.0
