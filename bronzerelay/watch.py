"""Watches a database group: terms, log positions and the age of replicas' data."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from bronzerelay.dialect import EndpointError, EndpointLink, StatusAnswer
from bronzerelay.runtime import Runtime
from bronzerelay.types import EndpointSpec, GroupSpec, Position

PRIMARY = "primary"
# The pause before reconnecting after a connection was refused or lost.
RECONNECT_PAUSE_MS = 40
CONNECT_TIMEOUT_MS = 300
# How long after the requested wait an answer may come before its connection counts as
# lost, and how long a new connection then has to get one. An instance without an answer
# after both counts as silent.
ANSWER_MARGIN_MS = 150
RECONNECT_ANSWER_MS = 100
# How long a request waits for a group while no majority of its instances answers.
NO_MAJORITY_WAIT_MS = 250
# How many samples of the primary's position are kept to prove the age of data, and the
# time between them. Without that gap a busy primary's samples would soon displace all
# those that a replica has reached, and all reads would go to the primary just when
# replicas lag most.
SAMPLE_LIMIT = 512
SAMPLE_GAP_MS = 20

Opener = Callable[
    [EndpointSpec, str, float], Result[EndpointLink, EndpointError]
]  # spec, kind, timeout_ms


class InstanceState(NamedTuple):
    """The last answer of an instance; `sent_at_ms` is when that poll was sent.

    `was_polled` is true once a first poll has ended, with an answer or without one.
    """

    term: int = 0
    role: str = ""
    log_term: int = 0
    position: int = 0
    sent_at_ms: float = float("-inf")
    reachable: bool = False
    was_polled: bool = False

    @property
    def has_answered(self) -> bool:
        """Return whether the instance has ever answered."""
        return bool(self.role)

    def holds(self, need: Position) -> bool:
        """Return whether the instance's log reaches `need`."""
        return Position(self.log_term, self.position) >= need


def find_highest_term(states: dict[str, InstanceState]) -> int:
    """Return the highest term that any instance has reported, 0 without one."""
    return max((state.term for state in states.values()), default=0)


def find_primary(states: dict[str, InstanceState]) -> str | None:
    """Return the reachable primary of the highest known term, or None."""
    term = find_highest_term(states)
    for name, state in states.items():
        if state.role == PRIMARY and state.term == term and state.reachable:
            return name
    return None


class Sample(NamedTuple):
    """The primary's position was at most `position` at `at_ms` by the own clock."""

    at_ms: float
    term: int
    position: int


class ContactLoss(NamedTuple):
    """A poll failed: why, and for how long the instance has been silent."""

    endpoint: str
    reason: str
    silent_ms: int


class FailedPoll(NamedTuple):
    """A poll without an answer, and the time that a new connection has to get one."""

    error: EndpointError
    left_ms: float


class GroupWatch:
    """Polls each instance of one group in a task of its own, by long polling."""

    def __init__(
        self, runtime: Runtime, spec: GroupSpec, opener: Opener, status_wait_ms: int
    ):
        self._runtime = runtime
        self._opener = opener
        self._status_wait_ms = status_wait_ms
        self.spec = spec
        self.condition = runtime.make_condition()
        # Both are replaced as a whole at each update, never modified, as they are also
        # read without holding the condition.
        self.states: dict[str, InstanceState] = {}
        self._samples: tuple[Sample, ...] = ()
        self._stopped = False
        self._on_change: list[Callable[[], None]] = []
        self._on_silence: list[Callable[[ContactLoss], None]] = []
        self._on_recovery: list[Callable[[str], None]] = []
        self._on_connection_loss: list[Callable[[ContactLoss], None]] = []
        self._watched: dict[str, EndpointSpec] = {}
        self.set_spec(spec)

    def call_on_change(self, function: Callable[[], None]) -> None:
        """Call `function` after each update of an instance's state."""
        self._on_change.append(function)

    def call_on_silence(self, function: Callable[[ContactLoss], None]) -> None:
        """Call `function` for each instance that stops answering."""
        self._on_silence.append(function)

    def call_on_recovery(self, function: Callable[[str], None]) -> None:
        """Call `function` with the name of each instance that answers again."""
        self._on_recovery.append(function)

    def call_on_connection_loss(self, function: Callable[[ContactLoss], None]) -> None:
        """Call `function` when a connection is lost and a new one gets an answer."""
        self._on_connection_loss.append(function)

    def set_spec(self, spec: GroupSpec) -> None:
        """Apply a new list of instances."""
        with self.condition:
            self.spec = spec
            wanted = {endpoint.name: endpoint for endpoint in spec.endpoints}
            known = {name: self.states[name] for name in wanted if name in self.states}
            added = [
                endpoint
                for name, endpoint in wanted.items()
                if not _is_same_target(self._watched.get(name), endpoint)
            ]
            self._watched = wanted
            self.states = known | {endpoint.name: InstanceState() for endpoint in added}
        for endpoint in added:
            self._runtime.keep_running(self._watch, endpoint)

    def stop(self) -> None:
        """Stop the tasks; each ends after its current poll."""
        with self.condition:
            self._stopped = True
            self.condition.notify_all()

    # The task of one instance

    def _watch(self, endpoint: EndpointSpec) -> None:
        while self._is_watched(endpoint):
            opened = self._opener(endpoint, "monitor", CONNECT_TIMEOUT_MS)
            error = opened.error if opened.is_error() else None
            if opened.is_ok():
                error = self._poll_reconnecting(endpoint, opened.ok)
            if error is not None:
                self._record_failure(endpoint, error)
            if not self._runtime.sleep_ms(RECONNECT_PAUSE_MS):
                return

    def _poll_reconnecting(
        self, endpoint: EndpointSpec, link: EndpointLink
    ) -> EndpointError | None:
        """Poll over `link`, then over new links while each gets an answer in time.

        A connection may be lost while its instance is healthy. If that alone made the
        instance count as silent, a healthy primary would be replaced, and the
        statements that run on it would be aborted.
        """
        while True:
            failed = self._poll(endpoint, link)
            link.close()
            if failed is None:
                return None
            loss = self._describe_loss(endpoint, failed.error)
            reconnected = self._reconnect(endpoint, failed.left_ms)
            if reconnected is None:
                return failed.error
            link = reconnected
            for function in self._on_connection_loss:
                function(loss)
            if not self._runtime.sleep_ms(RECONNECT_PAUSE_MS):
                link.close()
                return None

    def _reconnect(self, endpoint: EndpointSpec, left_ms: float) -> EndpointLink | None:
        """Return a new link if the instance answers over it within `left_ms`."""
        end_ms = self._runtime.clock.now_ms() + left_ms
        opened = self._opener(endpoint, "monitor", left_ms)
        if not opened.is_ok():
            return None
        sent_at_ms = self._runtime.clock.now_ms()
        result = opened.ok.status(0, 0, 0, max(1.0, end_ms - sent_at_ms))
        if not result.is_ok():
            opened.ok.close()
            return None
        self._record_answer(endpoint, result.ok, sent_at_ms)
        return opened.ok

    def _is_watched(self, endpoint: EndpointSpec) -> bool:
        with self.condition:
            current = self._watched.get(endpoint.name)
            return not self._stopped and _is_same_target(current, endpoint)

    def _poll(self, endpoint: EndpointSpec, link: EndpointLink) -> FailedPoll | None:
        """Poll until a poll fails; return None if the instance is no longer watched."""
        state = InstanceState()
        wait_ms = 0
        while self._is_watched(endpoint):
            sent_at_ms = self._runtime.clock.now_ms()
            timeout_ms = wait_ms + ANSWER_MARGIN_MS
            result = link.status(state.term, state.position, wait_ms, timeout_ms)
            if not result.is_ok():
                # If the timeout came late, this daemon was paused itself: it gives the
                # new connection as much time again.
                late_ms = self._runtime.clock.now_ms() - sent_at_ms - timeout_ms
                spare_ms = late_ms if late_ms >= 0 else ANSWER_MARGIN_MS
                return FailedPoll(result.error, RECONNECT_ANSWER_MS + spare_ms)
            state = self._record_answer(endpoint, result.ok, sent_at_ms)
            wait_ms = self._status_wait_ms
        return None

    def _record_answer(
        self, endpoint: EndpointSpec, answer: StatusAnswer, sent_at_ms: float
    ) -> InstanceState:
        state = InstanceState(
            answer.term,
            answer.role,
            answer.log_term,
            answer.position,
            sent_at_ms,
            reachable=True,
            was_polled=True,
        )
        with self.condition:
            known = self.states.get(endpoint.name)
            if known is not None:
                self.states = {**self.states, endpoint.name: state}
            if state.role == PRIMARY:
                self._add_sample(Sample(sent_at_ms, state.term, state.position))
            self.condition.notify_all()
        if known is not None and known.has_answered and not known.reachable:
            for function in self._on_recovery:
                function(endpoint.name)
        self._notify_change()
        return state

    def _add_sample(self, sample: Sample) -> None:
        """Add the newest sample; older ones are kept if they are far enough apart."""
        samples = self._samples
        if len(samples) >= 2 and samples[-1].at_ms - samples[-2].at_ms < SAMPLE_GAP_MS:
            samples = samples[:-1]
        self._samples = (*samples[1 - SAMPLE_LIMIT :], sample)

    def _record_failure(self, endpoint: EndpointSpec, error: EndpointError) -> None:
        with self.condition:
            state = self.states.get(endpoint.name)
            fell_silent = state is not None and state.reachable
            if state is not None:
                failed = state._replace(reachable=False, was_polled=True)
                self.states = {**self.states, endpoint.name: failed}
            self.condition.notify_all()
        if fell_silent:
            loss = self._describe_loss(endpoint, error)
            for function in self._on_silence:
                function(loss)
        self._notify_change()

    def _describe_loss(
        self, endpoint: EndpointSpec, error: EndpointError
    ) -> ContactLoss:
        state = self.states.get(endpoint.name, InstanceState())
        silent_ms = self._runtime.clock.now_ms() - state.sent_at_ms
        silent_ms = round(silent_ms) if state.has_answered else 0
        return ContactLoss(endpoint.name, error.message, silent_ms)

    def _notify_change(self) -> None:
        for function in self._on_change:
            function()

    # Conclusions from the states; these don't acquire the condition

    def majority_size(self) -> int:
        """Return how many instances make a majority."""
        return len(self.spec.endpoints) // 2 + 1

    def highest_term(self) -> int:
        """Return the highest term that any instance has reported."""
        return find_highest_term(self.states)

    def primary(self) -> str | None:
        """Return the reachable primary of the highest known term, or None."""
        return find_primary(self.states)

    def has_polled_all(self) -> bool:
        """Return whether each instance has been polled at least once.

        A poll that got no answer counts as well.
        """
        return all(state.was_polled for state in self.states.values())

    def count_reachable(self) -> int:
        """Return how many instances answer."""
        return sum(state.reachable for state in self.states.values())

    def has_majority(self) -> bool:
        """Return whether a majority of the instances answers."""
        return self.count_reachable() >= self.majority_size()

    def is_held_by_majority(self, need: Position) -> bool:
        """Return whether a majority of instances at the term of `need` holds it.

        An instance that has accepted a later term doesn't count: a position of that
        term may stand for other entries, and the primary of `need` is replaced.
        """
        count = 0
        for state in self.states.values():
            same_term = state.term == need.term and state.log_term == need.term
            if same_term and state.position >= need.position:
                count += 1
        return count >= self.majority_size()

    def proven_age_ms(self, name: str) -> float:
        """Return how old the data of instance `name` can be at most.

        A position that the primary reported proves the age as of the time when that
        poll was sent, but not later than the last time at which a majority was polled
        and still at the same term. Without that limit a replaced primary that is cut
        off would seem fresh, as it keeps reporting its old position.
        """
        state = self.states.get(name)
        if state is None:
            return float("inf")
        proven_at_ms = self._proven_at_ms(Position(state.log_term, state.position))
        return self._runtime.clock.now_ms() - proven_at_ms

    def is_proven_since(
        self, seen: Position, since_ms: float, by_primary: bool
    ) -> bool:
        """Return whether a log ending at `seen` holds all data as of `since_ms`.

        The primary's own log (`by_primary`) holds all entries of its term, but it still
        has to be proven that the term hadn't ended by `since_ms`.
        """
        if by_primary:
            is_current = seen.term == self.highest_term()
            return is_current and self._majority_polled_at_ms(seen.term) >= since_ms
        return self._proven_at_ms(seen) >= since_ms

    def _proven_at_ms(self, end: Position) -> float:
        """Return the latest time as of which a log ending at `end` holds all data."""
        term = self.highest_term()
        if end.term != term:
            return float("-inf")
        for sample in reversed(self._samples):
            if sample.term == term and sample.position <= end.position:
                return min(sample.at_ms, self._majority_polled_at_ms(term))
        return float("-inf")

    def _majority_polled_at_ms(self, term: int) -> float:
        polled = [
            state.sent_at_ms for state in self.states.values() if state.term == term
        ]
        polled.sort(reverse=True)
        needed = self.majority_size()
        return polled[needed - 1] if len(polled) >= needed else float("-inf")

    # Waiting

    def wait_primary(self, timeout_ms: float) -> tuple[str, int] | None:
        """Return the primary and its term, waiting up to `timeout_ms` for one.

        Without a reachable majority it waits only `NO_MAJORITY_WAIT_MS`, to leave time
        for another daemon that may reach the group.
        """
        # Each request calls this, and most find a primary at once. If hundreds of them
        # acquired the lock for that, they would delay each other and answers to peers.
        states = self.states
        name = find_primary(states)
        if name is not None:
            return name, states[name].term
        with self.condition:
            short_ms = min(timeout_ms, NO_MAJORITY_WAIT_MS)
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
        """Wait until `is_proven_since` holds or a newer term is known.

        Return whether `is_proven_since` holds.
        """
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
        """Wait until a majority holds `need` or a newer term is known.

        Return whether a majority holds `need`.
        """
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
