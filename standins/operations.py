"""The handlers of an endpoint stand-in for the ops of work and monitor connections."""

from collections.abc import Callable

from bronzerelay.runtime import Address, Connection, Runtime, parse_address
from standins.faults import Faults
from standins.follower import pull_from_primary
from standins.instance import Execution, Instance, RefusedError
from standins.messages import EndpointSettings, Request, Session

WAIT_LIMIT_MS = 30_000
# How often a pull that waits for the lag to pass checks for a change of role.
PULL_SLICE_MS = 50


class Operations:
    """One handler for each op, with the instance and faults that they work on."""

    def __init__(self, runtime: Runtime, settings: EndpointSettings):
        self.runtime = runtime
        self.settings = settings
        self.instance = Instance(runtime, settings.slots)
        self.condition = self.instance.condition
        self.faults = Faults()
        self.lag_ms = settings.lag_ms
        self.service_ms = settings.service_ms
        self.stopped = False
        self._pull_connection: Connection | None = None
        self.handlers: dict[str, Callable[[Session, Request], dict]] = {
            "status": self.answer_status,
            "fence": self._fence,
            "promote": self._promote,
            "follow": self._follow,
            "pull": self._answer_pull,
            "read": self._read,
            "write": self._write,
            "settle": self._settle,
            "begin": self._begin,
            "commit": self._commit,
            "rollback": self._rollback,
        }

    def take_initial_role(self) -> None:
        """Take the role from the settings: primary, replica or neither."""
        with self.condition:
            if self.settings.primary_term:
                self.instance.term = self.settings.primary_term
                self.instance.promote(self.settings.primary_term)
            elif self.settings.follow:
                self._start_following(1, self.settings.follow)

    def stop(self) -> None:
        """Wake every waiting task, and end the pull."""
        with self.condition:
            self.stopped = True
            self.condition.notify_all()
        self._close_pull()

    def await_thaw(self) -> None:
        """Wait while the instance is frozen; the caller holds the condition."""
        while self.faults.frozen and not self.stopped:
            self.runtime.wait_for(
                self.condition,
                lambda: self.stopped or not self.faults.frozen,
                WAIT_LIMIT_MS,
            )

    # Ops of monitor connections

    def answer_status(self, session: Session, request: Request) -> dict:
        """Return the status once it differs from the known one, or after the wait."""
        wait_ms = min(request.get("wait_ms", 0), WAIT_LIMIT_MS)
        instance = self.instance

        def differs() -> bool:
            known_term = request.get("known_term", instance.term)
            known_position = request.get("known_position", instance.position)
            # A log that was cut and has grown again to the known position differs only
            # in its last term. A caller that waits for a majority at that term would
            # otherwise have to wait for the poll to time out.
            return (
                self.stopped
                or (known_term, known_position) != (instance.term, instance.position)
                or session.last_status not in (None, instance.make_status())
            )

        with self.condition:
            if wait_ms > 0:
                self.runtime.wait_for(self.condition, differs, wait_ms)
            if session.kind != "admin":
                self.await_thaw()
            session.last_status = instance.make_status()
            return session.last_status

    def _fence(self, session: Session, request: Request) -> dict:
        with self.condition:
            self.await_thaw()
            answer = self.instance.fence(request["term"])
        self._close_pull()
        return answer

    def _promote(self, session: Session, request: Request) -> dict:
        with self.condition:
            self.await_thaw()
            answer = self.instance.promote(request["term"])
        self._close_pull()
        return answer

    def _follow(self, session: Session, request: Request) -> dict:
        primary = parse_address(request["primary"])
        with self.condition:
            self.await_thaw()
            return self._start_following(request["term"], primary)

    def _start_following(self, term: int, primary: Address) -> dict:
        generation = self.instance.generation
        answer = self.instance.follow(term, primary)
        if self.instance.generation != generation:
            self._close_pull()
            self.runtime.start(
                pull_from_primary, self, term, primary, self.instance.generation
            )
        return answer

    def _close_pull(self) -> None:
        connection = self._pull_connection
        if connection is not None:
            connection.close()

    def set_pull_connection(self, connection: Connection) -> None:
        """Store the connection to the primary, which a fence closes."""
        self._pull_connection = connection

    def _answer_pull(self, session: Session, request: Request) -> dict:
        clock = self.runtime.clock
        lag_ms = request.get("lag_ms", self.lag_ms)
        end_ms = clock.now_ms() + min(request.get("wait_ms", 0), WAIT_LIMIT_MS)
        instance = self.instance
        position = request["position"]
        while True:
            with self.condition:
                self.await_thaw()
                instance.check_primary(request["term"])
                rewind = instance.find_rewind(request["log_term"], position)
                if rewind is not None:
                    return {"rewind": True, "position": rewind}
                entries, due_ms = instance.list_due(position, lag_ms)
                remaining_ms = end_ms - clock.now_ms()
                if entries or remaining_ms <= 0 or self.stopped:
                    return {"entries": entries}
                if not due_ms:
                    self._await_entry(position, remaining_ms)
            # A wait on the condition would be woken by every new write, in vain.
            self.runtime.sleep_ms(min(due_ms, remaining_ms, PULL_SLICE_MS))

    def _await_entry(self, position: int, timeout_ms: float) -> None:
        """Wait for an entry after `position`; the caller holds the condition."""
        instance = self.instance
        generation = instance.generation
        self.runtime.wait_for(
            self.condition,
            lambda: (
                self.stopped
                or instance.position > position
                or instance.generation != generation
            ),
            timeout_ms,
        )

    # Ops of work connections

    def _run_in_slot(
        self, session: Session, request: Request, function: Callable[[], dict]
    ) -> dict:
        """Hold a slot for the service time, then run `function`.

        `function` checks term and role, with the condition held, only at the end: a
        fence that arrives during the service time, or while the process is stopped,
        must make a write fail.
        """
        with self.condition:
            self.instance.take_slot()
        try:
            self.runtime.clock.sleep_ms(self.service_ms)
            with self.condition:
                self.await_thaw()
                return self._run_and_record(session, request, function)
        finally:
            with self.condition:
                self.instance.free_slot()

    def _run_and_record(
        self, session: Session, request: Request, function: Callable[[], dict]
    ) -> dict:
        outcome = "failed"
        try:
            answer = function()
            outcome = answer.get("outcome", "ran")
            if answer.get("duplicate"):
                outcome = "duplicate"
            elif session.transaction is not None and request["op"] == "write":
                outcome = "held"
            return answer
        except RefusedError as error:
            outcome = error.error
            raise
        finally:
            transaction = session.transaction
            workspace = transaction.workspace if transaction is not None else ""
            execution = Execution(
                self.runtime.clock.now_ms(),
                request["op"],
                request.get("workspace", workspace),
                request.get("request_id", ""),
                request.get("term", 0),
                outcome,
            )
            self.instance.executions.append(execution)

    def _read(self, session: Session, request: Request) -> dict:
        statement = request["statement"]
        request["workspace"]
        return self._run_in_slot(
            session,
            request,
            lambda: self.instance.read(statement, session.transaction),
        )

    def _write(self, session: Session, request: Request) -> dict:
        term = request["term"]
        statement = request["statement"]
        request_id = request["request_id"]
        request["workspace"]
        return self._run_in_slot(
            session,
            request,
            lambda: self.instance.write(
                term, statement, request_id, session.transaction
            ),
        )

    def _settle(self, session: Session, request: Request) -> dict:
        term = request["term"]
        request_id = request["request_id"]
        return self._run_in_slot(
            session, request, lambda: self.instance.settle(term, request_id)
        )

    def _begin(self, session: Session, request: Request) -> dict:
        with self.condition:
            self.await_thaw()
            if session.transaction is not None:
                raise RefusedError("malformed", "a transaction is open already")
            workspace = request["workspace"]
            session.transaction = self.instance.begin(workspace, request["term"])
        return {}

    def _commit(self, session: Session, request: Request) -> dict:
        term = request["term"]
        request_id = request["request_id"]

        def commit() -> dict:
            return self.instance.commit(term, request_id, session.transaction)

        try:
            answer = self._run_in_slot(session, request, commit)
        except RefusedError as error:
            if error.error != "busy":
                self._drop_transaction(session)
            raise
        self._drop_transaction(session)
        return answer

    def _rollback(self, session: Session, request: Request) -> dict:
        self._drop_transaction(session)
        return {}

    def _drop_transaction(self, session: Session) -> None:
        with self.condition:
            self.instance.discard_transaction(session.transaction)
            session.transaction = None
