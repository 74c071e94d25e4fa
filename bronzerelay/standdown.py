"""Whether this daemon serves no groups for a while, as peers counted it as dead."""

import math
from collections.abc import Iterable
from typing import NamedTuple

# A daemon that its peers have counted as dead serves no groups for this long after. One
# that was paused is likely to be paused again, and each time its groups would move.
STAND_DOWN_MS = 10_000
# How long after a pause requests wait for the peers' answers at most.
ASK_MS = 400


class Answer(NamedTuple):
    """A peer's answer to a heartbeat; times are on this daemon's clock.

    `missed_at_ms` is when the peer last counted this daemon as dead, -inf if it hasn't
    lately.
    """

    asked_at_ms: float
    missed_at_ms: float

    def is_recent_miss(self, now_ms: float) -> bool:
        """Return whether the peer has counted this daemon as dead lately."""
        return now_ms < self.missed_at_ms + STAND_DOWN_MS


class StandDown:
    """Decides from the peers' answers whether this daemon serves groups.

    It serves none while most of its peers have lately counted it as dead: they have
    sent its groups' requests to another daemon, and two daemons must not grant the same
    slots. A minority decides nothing, as it may be the peers that were paused.
    """

    def __init__(self):
        self._answers: dict[str, Answer] = {}
        self._paused_until_ms = -math.inf

    def note_pause(self, ended_ms: float) -> None:
        """Record that peers may have counted this daemon as dead until `ended_ms`."""
        self._paused_until_ms = ended_ms

    def note_answer(self, peer: str, answer: Answer, now_ms: float) -> bool:
        """Record an answer; return whether it may change a decision."""
        known = self._answers.get(peer)
        self._answers[peer] = answer
        was_miss = known is not None and known.is_recent_miss(now_ms)
        is_miss = answer.is_recent_miss(now_ms)
        return was_miss or is_miss or now_ms < self.asks_until_ms

    def keep_peers(self, names: Iterable[str]) -> None:
        """Drop the answers of all others, as they have left."""
        self._answers = {
            name: self._answers[name] for name in names if name in self._answers
        }

    @property
    def asks_until_ms(self) -> float:
        """Return until when `is_asking` may be true."""
        return self._paused_until_ms + ASK_MS

    def is_asking(self, peers: set[str], now_ms: float) -> bool:
        """Return whether too few live peers have answered since the last pause."""
        if not peers or now_ms >= self.asks_until_ms:
            return False
        answered = sum(
            answer.asked_at_ms >= self._paused_until_ms
            for peer, answer in self._answers.items()
            if peer in peers
        )
        return answered < _find_majority(len(peers))

    def is_missed(self, peer_count: int, now_ms: float) -> bool:
        """Return whether most of the peers have lately counted this daemon as dead.

        `peer_count` includes peers that are dead.
        """
        answers = self._answers.values()
        missed = sum(answer.is_recent_miss(now_ms) for answer in answers)
        return missed >= _find_majority(peer_count)


def _find_majority(count: int) -> int:
    return count // 2 + 1
