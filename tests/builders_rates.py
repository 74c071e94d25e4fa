"""Builders of rate limiters on one clock that report to each other, and partitions."""

from bronzerelay.pooler.fleetrates import PROPAGATION_MS, FleetRates
from bronzerelay.runtime import Random
from tests.builders_pooler import ManualClock, make_runtime, make_workspace

STEP_MS = 10.0


class ExactBucket:
    """One token bucket in one place, which all operations ask."""

    def __init__(self, rate, burst, now_ms):
        self.rate, self.burst = rate, burst
        self.tokens, self.at_ms = burst, now_ms

    def spend(self, now_ms):
        earned = self.rate * (now_ms - self.at_ms) / 1000
        self.tokens = min(self.burst, self.tokens + earned)
        self.at_ms = now_ms
        admitted = self.tokens >= 1
        self.tokens -= admitted
        return admitted


class PartedFleet:
    """Daemons of which only those on the same side hear each other."""

    def __init__(self, count, rate, burst, seed=1):
        self.clock = ManualClock()
        self.chance = Random(seed)
        runtime = make_runtime(self.clock)
        self.names = [f"d{number}" for number in range(count)]
        self.rates = {name: FleetRates(runtime, name) for name in self.names}
        for rates in self.rates.values():
            rates.set_workspaces([make_workspace(rate=rate, burst=burst)])
            rates.set_members(self.names)
        self.exact = ExactBucket(rate, burst, self.clock.now_ms())
        # The number of the side of each daemon.
        self.sides = dict.fromkeys(self.names, 0)
        self._due_ms = {
            name: self.clock.now_ms() + self.chance.uniform(0, PROPAGATION_MS)
            for name in self.names
        }
        # When the last heartbeat that a daemon got from another one was sent.
        self._got_ms = {}
        self._owed = dict.fromkeys(self.names, 0.0)

    def split(self, *shares):
        """Put these shares of the daemons on sides of their own."""
        names = self.chance.sample(self.names, len(self.names))
        self.sides = dict.fromkeys(names, 0)
        for number, share in enumerate(shares, 1):
            count = max(1, round(share * len(self.names)))
            taken, names = names[:count], names[count:]
            self.sides.update(dict.fromkeys(taken, number))

    def join(self):
        self.sides = dict.fromkeys(self.names, 0)

    def _report(self, sender):
        now_ms = self.clock.now_ms()
        # A daemon looks for silent members with its upkeep, too.
        self.rates[sender].set_members(self.names)
        for receiver in self.names:
            if sender == receiver or self.sides[sender] != self.sides[receiver]:
                continue
            as_of_ms = self._got_ms.get((sender, receiver), -1.0)
            report = self.rates[sender].make_report(None)
            self.rates[receiver].apply_report(sender, 1, as_of_ms, report)
            self._got_ms[receiver, sender] = now_ms

    def play(self, duration_ms, demand, max_wait_ms=0.0):
        """Return the times of admitted and of refused ones, and the exact count.

        `demand(name)` is the operations a second that are asked for at a daemon.
        """
        admitted, refused, exact = [], [], 0
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.sleep_ms(STEP_MS)
            now_ms = self.clock.now_ms()
            for name in self.names:
                if now_ms >= self._due_ms[name]:
                    self._due_ms[name] += PROPAGATION_MS
                    self._report(name)
            for name in self.chance.sample(self.names, len(self.names)):
                self._owed[name] += demand(name) * STEP_MS / 1000
                while self._owed[name] >= 1:
                    self._owed[name] -= 1
                    exact += self.exact.spend(now_ms)
                    decision = self.rates[name].spend("north", max_wait_ms)
                    (admitted if decision.admitted else refused).append(now_ms)
        return admitted, refused, exact
