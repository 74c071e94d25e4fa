"""What a daemon knows of a database group: terms, positions, and their age."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from bronzerelay.dialect import EndpointError, EndpointLink, StatusAnswer
from bronzerelay.runtime import Runtime
from bronzerelay.types import EndpointSpec, GroupSpec, Position

PRIMARY = "primary"
# The pause after a refused or a lost connection before the instance is asked again.
REDIAL_MS = 40
CONNECT_TIMEOUT_MS = 300
# How much later than asked for an answer may come before its connection counts as lost,
# and how long a new connection then has to bring one. An instance is silent after both.
ANSWER_MARGIN_MS = 150
CONFIRM_MS = 100
# How long a request waits for a group of which no majority answers.
CUT_OFF_WAIT_MS = 250
# How many samples of the primary's position are kept as proofs of age, and how far
# apart. Without the gap a busy primary pushes out within a moment every sample that a
# replica has reached, and all reads fall on the primary when replicas lag most.
SAMPLES = 512
SAMPLE_GAP_MS = 20

Opener = Callable[
    [EndpointSpec, str, float], Result[EndpointLink, EndpointError]
]  # spec, kind, timeout_ms


class InstanceState(NamedTuple):
    """The last answer of an instance; `sent_at_ms` is when it was asked.

    `is_judged` tells that it has answered, or failed to, since it is watched.
    """

    term: int = 0
    role: str = ""
    log_term: int = 0
    position: int = 0
    sent_at_ms: float = float("-inf")
    reachable: bool = False
    is_judged: bool = False

    @property
    def was_heard(self) -> bool:
        """Return whether the instance has ever answered."""
        return bool(self.role)

    def holds(self, need: Position) -> bool:
        """Return whether the instance's log reaches `need`."""
        return Position(self.log_term, self.position) >= need


def find_highest_term(states: dict[str, InstanceState]) -> int:
    """Return the highest term that any instance has told, 0 without one."""
    return max((state.term for state in states.values()), default=0)


def find_primary(states: dict[str, InstanceState]) -> str | None:
    """Return the reachable primary of the highest known term, or None."""
    term = find_highest_term(states)
    for name, state in states.items():
        if state.role == PRIMARY and state.term == term and state.reachable:
            return name
    return None


class Sample(NamedTuple):
    """The primary's position was at most `position` at `at_ms`, own clock."""

    at_ms: float
    term: int
    position: int


class Silence(NamedTuple):
    """An instance stopped answering: what was lost, and since when it was silent."""

    endpoint: str
    reason: str
    silent_ms: int


class LostPoll(NamedTuple):
    """A poll without an answer, and the time that a new connection has to bring one."""

    error: EndpointError
    left_ms: float


class GroupWatch:
    """Long polls each instance of one group, one task for each."""

    def __init__(
        self, runtime: Runtime, spec: GroupSpec, opener: Opener, status_wait_ms: int
    ):
        self._runtime = runtime
        self._opener = opener
        self._status_wait_ms = status_wait_ms
        self.spec = spec
        self.condition = runtime.make_condition()
        # Both are replaced whole at each change, so that a reader without the
        # condition never meets one that changes under it.
        self.states: dict[str, InstanceState] = {}
        self._samples: tuple[Sample, ...] = ()
        self._stopped = False
        self._on_change: list[Callable[[], None]] = []
        self._on_silence: list[Callable[[Silence], None]] = []
        self._on_return: list[Callable[[str], None]] = []
        self._on_loss: list[Callable[[Silence], None]] = []
        self._watched: dict[str, EndpointSpec] = {}
        self.set_spec(spec)

    def call_on_change(self, function: Callable[[], None]) -> None:
        """Call `function` after each change of an instance's state."""
        self._on_change.append(function)

    def call_on_silence(self, function: Callable[[Silence], None]) -> None:
        """Call `function` for each instance that stops answering."""
        self._on_silence.append(function)

    def call_on_return(self, function: Callable[[str], None]) -> None:
        """Call `function` with the name of each instance that answers again."""
        self._on_return.append(function)

    def call_on_loss(self, function: Callable[[Silence], None]) -> None:
        """Call `function` for each lost connection to an instance that answers."""
        self._on_loss.append(function)

    def set_spec(self, spec: GroupSpec) -> None:
        """Take over a new list of instances."""
        with self.condition:
            self.spec = spec
            wanted = {endpoint.name: endpoint for endpoint in spec.endpoints}
            kept = {name: self.states[name] for name in wanted if name in self.states}
            fresh = [
                endpoint
                for name, endpoint in wanted.items()
                if not _is_same_target(self._watched.get(name), endpoint)
            ]
            self._watched = wanted
            self.states = kept | {one.name: InstanceState() for one in fresh}
        for endpoint in fresh:
            self._runtime.start(self._watch, endpoint)

    def stop(self) -> None:
        """End the tasks; each ends after its current poll."""
        with self.condition:
            self._stopped = True
            self.condition.notify_all()

    # One task for each instance

    def _watch(self, endpoint: EndpointSpec) -> None:
        while self._wants(endpoint):
            opened = self._opener(endpoint, "monitor", CONNECT_TIMEOUT_MS)
            error = opened.error if opened.is_error() else None
            if opened.is_ok():
                error = self._poll_over(endpoint, opened.ok)
            if error is not None:
                self._note_failure(endpoint, error)
            if not self._runtime.sleep_ms(REDIAL_MS):
                return

    def _poll_over(
        self, endpoint: EndpointSpec, link: EndpointLink
    ) -> EndpointError | None:
        """Poll over a link, and over a new one as long as one brings an answer.

        A connection may be lost while its instance is well. Were that enough to call
        the instance silent, a healthy primary would be replaced, and what runs on it
        would be broken off.
        """
        while True:
            lost = self._poll(endpoint, link)
            link.close()
            if lost is None:
                return None
            silence = self._describe(endpoint, lost.error)
            renewed = self._renew(endpoint, lost.left_ms)
            if renewed is None:
                return lost.error
            link = renewed
            for function in self._on_loss:
                function(silence)
            if not self._runtime.sleep_ms(REDIAL_MS):
                link.close()
                return None

    def _renew(self, endpoint: EndpointSpec, left_ms: float) -> EndpointLink | None:
        """Return a new link over which the instance has answered within a time."""
        end_ms = self._runtime.clock.now_ms() + left_ms
        opened = self._opener(endpoint, "monitor", left_ms)
        if not opened.is_ok():
            return None
        sent_at_ms = self._runtime.clock.now_ms()
        result = opened.ok.status(0, 0, 0, max(1.0, end_ms - sent_at_ms))
        if not result.is_ok():
            opened.ok.close()
            return None
        self._note_answer(endpoint, result.ok, sent_at_ms)
        return opened.ok

    def _wants(self, endpoint: EndpointSpec) -> bool:
        with self.condition:
            current = self._watched.get(endpoint.name)
            return not self._stopped and _is_same_target(current, endpoint)

    def _poll(self, endpoint: EndpointSpec, link: EndpointLink) -> LostPoll | None:
        """Poll until an answer is missing; return None when nobody asks any more."""
        state = InstanceState()
        wait_ms = 0
        while self._wants(endpoint):
            sent_at_ms = self._runtime.clock.now_ms()
            timeout_ms = wait_ms + ANSWER_MARGIN_MS
            result = link.status(state.term, state.position, wait_ms, timeout_ms)
            if not result.is_ok():
                # A daemon that was paused itself gives as much time again.
                late_ms = self._runtime.clock.now_ms() - sent_at_ms - timeout_ms
                spare_ms = late_ms if late_ms >= 0 else ANSWER_MARGIN_MS
                return LostPoll(result.error, CONFIRM_MS + spare_ms)
            state = self._note_answer(endpoint, result.ok, sent_at_ms)
            wait_ms = self._status_wait_ms
        return None

    def _note_answer(
        self, endpoint: EndpointSpec, answer: StatusAnswer, sent_at_ms: float
    ) -> InstanceState:
        state = InstanceState(
            answer.term,
            answer.role,
            answer.log_term,
            answer.position,
            sent_at_ms,
            reachable=True,
            is_judged=True,
        )
        with self.condition:
            known = self.states.get(endpoint.name)
            if known is not None:
                self.states = {**self.states, endpoint.name: state}
            if state.role == PRIMARY:
                self._add_sample(Sample(sent_at_ms, state.term, state.position))
            self.condition.notify_all()
        if known is not None and known.was_heard and not known.reachable:
            for function in self._on_return:
                function(endpoint.name)
        self._tell_change()
        return state

    def _add_sample(self, sample: Sample) -> None:
        """Keep the newest sample, and of the older ones those far enough apart."""
        kept = self._samples
        if len(kept) >= 2 and kept[-1].at_ms - kept[-2].at_ms < SAMPLE_GAP_MS:
            kept = kept[:-1]
        self._samples = (*kept[1 - SAMPLES :], sample)

    def _note_failure(self, endpoint: EndpointSpec, error: EndpointError) -> None:
        with self.condition:
            state = self.states.get(endpoint.name)
            fell_silent = state is not None and state.reachable
            if state is not None:
                failed = state._replace(reachable=False, is_judged=True)
                self.states = {**self.states, endpoint.name: failed}
            self.condition.notify_all()
        if fell_silent:
            silence = self._describe(endpoint, error)
            for function in self._on_silence:
                function(silence)
        self._tell_change()

    def _describe(self, endpoint: EndpointSpec, error: EndpointError) -> Silence:
        state = self.states.get(endpoint.name, InstanceState())
        silent_ms = self._runtime.clock.now_ms() - state.sent_at_ms
        silent_ms = round(silent_ms) if state.was_heard else 0
        return Silence(endpoint.name, error.message, silent_ms)

    def _tell_change(self) -> None:
        for function in self._on_change:
            function()

    # Judgements; the caller may hold the condition

    def majority(self) -> int:
        """Return how many instances are more than half."""
        return len(self.spec.endpoints) // 2 + 1

    def highest_term(self) -> int:
        """Return the highest term that any instance has told."""
        return find_highest_term(self.states)

    def primary(self) -> str | None:
        """Return the reachable primary of the highest known term, or None."""
        return find_primary(self.states)

    def has_judged_all(self) -> bool:
        """Return whether each instance has answered, or failed to, at least once."""
        return all(state.is_judged for state in self.states.values())

    def count_reachable(self) -> int:
        """Return how many instances answer."""
        return sum(state.reachable for state in self.states.values())

    def has_majority(self) -> bool:
        """Return whether a majority of the instances answers."""
        return self.count_reachable() >= self.majority()

    def is_held_by_majority(self, need: Position) -> bool:
        """Return whether a majority, at the term of `need`, holds that position.

        An instance that has accepted a later term doesn't count, so that a write
        is never acknowledged on the word of a primary that has been replaced.
        """
        count = 0
        for state in self.states.values():
            same_term = state.term == need.term and state.log_term == need.term
            if same_term and state.position >= need.position:
                count += 1
        return count >= self.majority()

    def proven_age_ms(self, name: str) -> float:
        """Return how old the data of instance `name` can be at most.

        The primary's position counts as a proof for the moment at which it was
        asked, and only up to the latest moment after which a majority was asked and
        still stood at that term: a primary that was cut off and replaced goes on
        telling its old position, and would pass for fresh without this.
        """
        state = self.states.get(name)
        if state is None:
            return float("inf")
        proven_at_ms = self._proven_at_ms(Position(state.log_term, state.position))
        return self._runtime.clock.now_ms() - proven_at_ms

    def is_proven_since(
        self, seen: Position, since_ms: float, by_primary: bool
    ) -> bool:
        """Return whether a log ending at `seen` holds all that counted at `since_ms`.

        The primary's own log, `by_primary`, holds all of its term; that the term
        hadn't ended by then needs a proof all the same.
        """
        if by_primary:
            is_current = seen.term == self.highest_term()
            return is_current and self._majority_asked_at_ms(seen.term) >= since_ms
        return self._proven_at_ms(seen) >= since_ms

    def _proven_at_ms(self, end: Position) -> float:
        """Return the latest time whose data a log ending at `end` surely holds."""
        term = self.highest_term()
        if end.term != term:
            return float("-inf")
        for sample in reversed(self._samples):
            if sample.term == term and sample.position <= end.position:
                return min(sample.at_ms, self._majority_asked_at_ms(term))
        return float("-inf")

    def _majority_asked_at_ms(self, term: int) -> float:
        asked = [
            state.sent_at_ms for state in self.states.values() if state.term == term
        ]
        asked.sort(reverse=True)
        needed = self.majority()
        return asked[needed - 1] if len(asked) >= needed else float("-inf")

    # Waiting

    def wait_primary(self, timeout_ms: float) -> tuple[str, int] | None:
        """Return the primary and its term, waiting up to `timeout_ms` for one.

        Without a majority in reach it waits only `CUT_OFF_WAIT_MS`: another daemon
        may reach the group, and the time would be lost to it.
        """
        # Each request comes here, and most find a primary. Hundreds that pass one lock
        # for that hold each other up, and the answers to peers as well.
        states = self.states
        name = find_primary(states)
        if name is not None:
            return name, states[name].term
        with self.condition:
            short_ms = min(timeout_ms, CUT_OFF_WAIT_MS)
            self._runtime.wait_for(
                self.condition, lambda: self.primary() or self.has_majority(), short_ms
            )
            if self.has_majority():
                left_ms = timeout_ms - short_ms
                self._runtime.wait_for(self.condition, self.primary, left_ms)
            name = self.primary()
            if name is None:
                return None
            return name, self.states[name].term

    def wait_proven(
        self, seen: Position, since_ms: float, by_primary: bool, timeout_ms: float
    ) -> bool:
        """Return whether `seen` came to be proven before a newer term was known."""
        with self.condition:
            self._runtime.wait_for(
                self.condition,
                lambda: (
                    self.is_proven_since(seen, since_ms, by_primary)
                    or self.highest_term() > seen.term
                ),
                timeout_ms,
            )
            return self.is_proven_since(seen, since_ms, by_primary)

    def wait_majority(self, need: Position, timeout_ms: float) -> bool:
        """Return whether a majority came to hold `need` before a newer term did."""
        if self.is_held_by_majority(need):
            return True
        with self.condition:
            self._runtime.wait_for(
                self.condition,
                lambda: (
                    self.is_held_by_majority(need) or self.highest_term() > need.term
                ),
                timeout_ms,
            )
            return self.is_held_by_majority(need)


def _is_same_target(known: EndpointSpec | None, endpoint: EndpointSpec) -> bool:
    return known is not None and known.address == endpoint.address
