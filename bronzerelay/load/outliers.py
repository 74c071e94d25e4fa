"""How many reads an instance gets whose answers are worse than those of its peers.

The load that it answers: an instance reports that it is well, but fails or refuses what
it gets, often faster than the others answer. What counts is the share of its bad
answers beside the share of its best peer, so that nobody is put aside while all are
equally bad.
"""

import enum
import math
from collections.abc import Iterable
from typing import NamedTuple

# The time constant with which answers are forgotten, in milliseconds.
DECAY_MS = 4_000
# The least number of answers, after forgetting, by which an instance is judged or
# compared with.
MIN_ANSWERS = 2.5
# By how much the share of bad answers has to exceed that of a peer. The standard error
# of a share of n answers, at most SPREAD / sqrt(n), is added for either of them.
MARGIN = 0.25
SPREAD = 0.5
# The share that an instance gets, at each step, of the reads that it would get without
# a limit: from the step at which it is only tested to the one without a limit.
STEPS = (1 / 8, 1 / 4, 1 / 2, 1.0)
TEST_STEP = 0
FULL_STEP = len(STEPS) - 1
# The least time between two changes of the step, except for the first step down after
# failures, in milliseconds.
STEP_MS = 250
# The pause between two reads that test an instance, in milliseconds; it doubles with
# each bad answer.
MIN_TEST_PAUSE_MS = 100
MAX_TEST_PAUSE_MS = 800
# The tokens for repeating failed reads: what a successful read adds, and the most of
# them. A repeated read takes one.
TOKENS_PER_SUCCESS = 0.2
MAX_TOKENS = 10.0


class Quality(enum.Enum):
    """What an answer says about its instance."""

    GOOD = enum.auto()
    # Refused for want of room, or a result after the latency objective.
    WEAK = enum.auto()
    # Failed, or no answer at all.
    FAILED = enum.auto()


class Use(enum.Enum):
    """Whether the next read may go to an instance."""

    NORMAL = enum.auto()
    # The read tests the instance and should go there first.
    TEST = enum.auto()
    NONE = enum.auto()


class Shares(NamedTuple):
    """The shares of an instance's answers, and the number of answers after forgetting.

    `bad` includes the failed ones.
    """

    answers: float
    failed: float
    bad: float


class AnswerRecord:
    """The answers of one instance and the step at which it gets reads."""

    def __init__(self):
        self._answers = 0.0
        self._failed = 0.0
        self._weak = 0.0
        self._updated_ms = 0.0
        self.step = FULL_STEP
        self._changed_ms = -math.inf
        # The part of the next read that its share has earned so far.
        self._earned = 0.0
        self._test_at_ms = 0.0
        self._test_pause_ms = MIN_TEST_PAUSE_MS

    @property
    def is_limited(self) -> bool:
        """Return whether the instance gets only a share of the reads."""
        return self.step < FULL_STEP

    def measure(self, now_ms: float) -> Shares:
        """Return the shares of bad answers."""
        if not self._answers:
            return Shares(0.0, 0.0, 0.0)
        return Shares(
            self._answers * self._find_rest(now_ms),
            self._failed / self._answers,
            (self._failed + self._weak) / self._answers,
        )

    def _find_rest(self, now_ms: float) -> float:
        """Return which part of the counts isn't forgotten yet."""
        return math.exp(-max(0.0, now_ms - self._updated_ms) / DECAY_MS)

    def record(
        self, quality: Quality, peers: Iterable["AnswerRecord"], now_ms: float
    ) -> bool:
        """Count an answer; return whether this changed the step.

        `peers` are the records of the other instances of the service.
        """
        self._count(quality, now_ms)
        if quality is Quality.GOOD:
            if self.is_limited:
                self._test_pause_ms = MIN_TEST_PAUSE_MS
                return self._step_up(now_ms)
            return False
        own = self.measure(now_ms)
        known = [shares for peer in peers if _is_known(shares := peer.measure(now_ms))]
        if not known or not _is_known(own):
            # Too little to compare: a limited instance stays limited.
            fails = quality is Quality.FAILED
            return fails and self.is_limited and self._set_step(TEST_STEP, now_ms)
        if not any(_is_worse(own, peer, own.bad - peer.bad) for peer in known):
            return self.is_limited and self._step_up(now_ms)
        self._delay_test(now_ms)
        fails = any(_is_worse(own, peer, own.failed - peer.failed) for peer in known)
        if fails and quality is Quality.FAILED:
            return self._set_step(TEST_STEP, now_ms)
        if self._may_step(now_ms):
            return self._set_step(max(TEST_STEP, self.step - 1), now_ms)
        return False

    def _count(self, quality: Quality, now_ms: float) -> None:
        rest = self._find_rest(now_ms)
        self._answers = self._answers * rest + 1
        self._failed = self._failed * rest + (quality is Quality.FAILED)
        self._weak = self._weak * rest + (quality is Quality.WEAK)
        self._updated_ms = now_ms

    def _may_step(self, now_ms: float) -> bool:
        return now_ms - self._changed_ms >= STEP_MS

    def _step_up(self, now_ms: float) -> bool:
        return self._may_step(now_ms) and self._set_step(self.step + 1, now_ms)

    def _set_step(self, step: int, now_ms: float) -> bool:
        if step == self.step:
            return False
        self.step = step
        self._changed_ms = now_ms
        self._earned = 0.0
        return True

    def _delay_test(self, now_ms: float) -> None:
        self._test_at_ms = now_ms + self._test_pause_ms
        self._test_pause_ms = min(2 * self._test_pause_ms, MAX_TEST_PAUSE_MS)

    def choose_use(self, outstanding: int, instances: int, now_ms: float) -> Use:
        """Return whether a read may go to the instance, and count the read.

        `outstanding` is how many statements are in progress there, `instances` how many
        the service has. A read that tests the instance goes there first, while other
        reads go there in one of so many cases.
        """
        if not self.is_limited:
            return Use.NORMAL
        share = STEPS[self.step]
        if self.step == TEST_STEP:
            share /= max(1, instances)
        self._earned = min(1.0, self._earned + share)
        if self._earned < 1:
            return Use.NONE
        if self.step > TEST_STEP:
            self._earned = 0.0
            return Use.NORMAL
        if outstanding > 0 or now_ms < self._test_at_ms:
            return Use.NONE
        self._earned = 0.0
        self._test_at_ms = now_ms + self._test_pause_ms
        return Use.TEST


def _is_known(shares: Shares) -> bool:
    return shares.answers >= MIN_ANSWERS


def _is_worse(own: Shares, peer: Shares, excess: float) -> bool:
    """Return whether a share exceeds the peer's by more than chance explains."""
    noise = SPREAD / math.sqrt(own.answers) + SPREAD / math.sqrt(peer.answers)
    return excess > MARGIN + noise


class RetryBudget:
    """Limits how many failed reads are repeated, by how many succeed.

    Without it, repetitions would double the load of a service that fails everything.
    """

    def __init__(self):
        self._tokens = MAX_TOKENS

    def earn(self) -> None:
        """Add what a successful read earns."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_SUCCESS)

    def take(self) -> bool:
        """Take the token for one repetition; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
