"""The faults that can be injected into an endpoint stand-in."""

from collections.abc import Sequence
from typing import NamedTuple

# DROP closes the connection without an answer. CROSS answers with the id and the value
# of the connection's previous answer.
DROP = "drop_answers"
DELAY = "delay_answers"
CROSS = "cross_answers"


class Fault(NamedTuple):
    """What happens to a request's answer; `before` drops it before the request runs."""

    kind: str
    before: bool = False
    delay_ms: float = 0


class Rule:
    """A fault for the next `count` requests of some ops."""

    def __init__(self, ops: Sequence[str], count: int, fault: Fault):
        self.ops = frozenset(ops)
        self.count = count
        self.fault = fault


class Faults:
    """The faults in force; the caller holds the instance's condition."""

    def __init__(self):
        self.frozen = False
        self.cut: set[str] = set()
        self._rules: list[Rule] = []

    def add(self, ops: Sequence[str], count: int, fault: Fault) -> None:
        """Apply `fault` to the next `count` requests of these ops."""
        if count > 0:
            self._rules.append(Rule(ops, count, fault))

    def take(self, op: str) -> Fault | None:
        """Return the fault for a request of this op, if any, and count the request."""
        for rule in self._rules:
            if op in rule.ops:
                rule.count -= 1
                if rule.count <= 0:
                    self._rules.remove(rule)
                return rule.fault
        return None
