"""The faults that an endpoint stand-in shows on command."""

from collections.abc import Sequence
from typing import NamedTuple

DROP = "drop_answers"
DELAY = "delay_answers"
CROSS = "cross_answers"


class Fault(NamedTuple):
    """What happens to one answer."""

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
        """Let `fault` happen to the next `count` requests of these ops."""
        if count > 0:
            self._rules.append(Rule(ops, count, fault))

    def take(self, op: str) -> Fault | None:
        """Return the fault that befalls this request, if any, and count it."""
        for rule in self._rules:
            if op in rule.ops:
                rule.count -= 1
                if rule.count <= 0:
                    self._rules.remove(rule)
                return rule.fault
        return None
