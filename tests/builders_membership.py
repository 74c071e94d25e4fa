"""Builders of memberships on one clock that exchange heartbeats."""

from bronzerelay.membership import Membership, MembershipSettings
from tests.fleet import SimulatedRuntime, make_roster

NAMES = ("vm-1", "vm-2", "vm-3")
SUSPECT_MS = 700
ISOLATION_MS = 3000


class Trio:
    """Three daemons on one clock; `send_heartbeat` includes the reply."""

    def __init__(self):
        self.runtime = SimulatedRuntime()
        self.members = {name: self.make(name) for name in NAMES}

    def make(self, name):
        settings = MembershipSettings(name, SUSPECT_MS, ISOLATION_MS)
        member = Membership(self.runtime, settings)
        member.accept_roster(make_roster(1, NAMES))
        return member

    def wait(self, duration_ms):
        self.runtime.clock.time_ms += duration_ms

    def send_heartbeat(self, name, other, delay_ms=0):
        sent_at_ms = self.runtime.clock.now_ms()
        views = self.members[other].make_views()
        self.wait(delay_ms)
        self.members[name].merge_reply(views, sent_at_ms, other)

    def exchange_heartbeats(self):
        for name in NAMES:
            for other in NAMES:
                if name != other:
                    self.send_heartbeat(name, other)
