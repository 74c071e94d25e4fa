"""An endpoint stand-in: one instance of a database group, with faults to inject."""

import signal
from collections.abc import Callable
from typing import Any

import click
import msgspec

from bronzerelay.runtime import (
    Address,
    Connection,
    Listener,
    Runtime,
    TaskLimitError,
    parse_address,
)
from standins.adminops import AdminOperations
from standins.faults import CROSS, DELAY, DROP, Fault
from standins.instance import RefusedError
from standins.messages import OPS, EndpointSettings, Request, Session
from standins.operations import Operations

# Tasks for connections that aren't work connections: monitors, admins, replicas.
OTHER_TASKS = 300
STOP_TIMEOUT_MS = 2000


def make_error(request_id: int, error: str, message: str, term: int = 0) -> dict:
    """Return a refusal; it has a `term` only when that is not 0."""
    answer = {"id": request_id, "ok": False, "error": error, "message": message}
    return {**answer, "term": term} if term else answer


class EndpointServer:
    """The endpoint's listener and connections."""

    def __init__(self, runtime: Runtime, settings: EndpointSettings):
        self.runtime = runtime
        self.settings = settings
        self.operations = Operations(runtime, settings)
        self.admin_operations = AdminOperations(self.operations)
        self.instance = self.operations.instance
        self.condition = self.operations.condition
        self.faults = self.operations.faults
        self._work_connections = 0
        self._sessions: set[Session] = set()
        self._listener: Listener | None = None
        self._decoder = msgspec.json.Decoder(Request)
        self._encoder = msgspec.json.Encoder()

    @property
    def address(self) -> Address:
        """The address on which the endpoint listens."""
        return self._listener.address

    @property
    def stopped(self) -> bool:
        """Whether the endpoint is stopping."""
        return self.operations.stopped

    def start(self) -> None:
        """Start to listen, and take the role from the settings."""
        self._listener = self.runtime.listen(self.settings.listen)
        self.runtime.start(self._accept)
        self.operations.take_initial_role()

    def stop(self) -> None:
        """Close every connection and wake every waiting task."""
        self.operations.stop()
        self._listener.close()
        with self.condition:
            sessions = list(self._sessions)
        for session in sessions:
            session.connection.close()

    # Connections

    def _accept(self) -> None:
        while not self.stopped:
            try:
                connection = self._listener.accept()
            except OSError:
                return
            try:
                self.runtime.start(self._serve, connection)
            except (TaskLimitError, RuntimeError):
                connection.close()

    def _serve(self, connection: Connection) -> None:
        session = Session(connection)
        with self.condition:
            if not self.stopped:
                self._sessions.add(session)
        try:
            self._serve_requests(session)
        except OSError:
            pass
        finally:
            self._end_session(session)

    def _end_session(self, session: Session) -> None:
        with self.condition:
            self._sessions.discard(session)
            self.instance.discard_transaction(session.transaction)
            if session.kind == "work":
                self._work_connections -= 1
        session.connection.close()

    def _serve_requests(self, session: Session) -> None:
        buffer = b""
        while True:
            data = session.connection.receive()
            if not data:
                return
            if session.kind != "admin":
                self.admin_operations.record_received(data)
            *lines, buffer = (buffer + data).split(b"\n")
            for line in lines:
                if not self._serve_line(session, line):
                    return

    def _serve_line(self, session: Session, line: bytes) -> bool:
        """Run one request and send its answer; return False to close the connection."""
        try:
            request = self._decoder.decode(line)
            op = request["op"]
            request["id"]
        except (msgspec.MsgspecError, KeyError) as error:
            self._send(session, make_error(0, "malformed", str(error)))
            return False
        if not session.kind:
            return self._answer_hello(session, request)
        if session.kind == "admin":
            answer = self._run(session, request, self.admin_operations.answer)
            return self._send(session, answer)
        with self.condition:
            self.operations.await_thaw()
            if self.stopped:
                return False
            if session.caller in self.faults.cut:
                return True
            fault = self.faults.take(op)
        if fault and fault.kind == DROP and fault.before:
            return False
        answer = self._run(session, request, self.operations.handlers.get(op))
        return self._send_with_fault(session, answer, fault)

    def _send_with_fault(
        self, session: Session, answer: dict, fault: Fault | None
    ) -> bool:
        if fault and fault.kind == DROP:
            return False
        if fault and fault.kind == DELAY:
            self.runtime.sleep_ms(fault.delay_ms)
        previous_id, previous_value = session.previous_id, session.previous_value
        session.previous_id = answer["id"]
        session.previous_value = answer.get("value")
        if fault and fault.kind == CROSS:
            answer = {**answer, "id": previous_id, "value": previous_value}
        with self.condition:
            self.operations.await_thaw()
            if session.caller in self.faults.cut:
                return True
        return self._send(session, answer)

    def _send(self, session: Session, answer: dict) -> bool:
        session.connection.send(self._encoder.encode(answer) + b"\n")
        return True

    def _run(self, session: Session, request: Request, handler: Callable) -> dict:
        try:
            if request["op"] not in OPS[session.kind]:
                raise RefusedError("malformed", f"not an op of {session.kind} links")
            fields = handler(session, request)
        except RefusedError as error:
            return make_error(request["id"], error.error, error.message, error.term)
        except (KeyError, ValueError) as error:
            message = f"missing or wrong field: {error}"
            return make_error(request["id"], "malformed", message)
        return {"id": request["id"], "ok": True, **(fields or {})}

    def _answer_hello(self, session: Session, request: Request) -> bool:
        kind = request.get("kind", "")
        if request["op"] != "hello" or not kind or "caller" not in request:
            message = "the first message must be hello with caller and kind"
            self._send(session, make_error(request["id"], "malformed", message))
            return False
        session.caller = request["caller"]
        self.runtime.sleep_ms(self.settings.connect_ms)
        if kind != "admin":
            with self.condition:
                self.operations.await_thaw()
                if session.caller in self.faults.cut:
                    return True
        if not self._admit(session, kind):
            message = f"{self.settings.connections} work connections are open"
            answer = make_error(request["id"], "too_many_connections", message)
            self._send(session, answer)
            return False
        session.previous_id = request["id"]
        answer = {"id": request["id"], "ok": True, "instance": self.settings.name}
        return self._send(session, {**answer, "group": self.settings.group})

    def _admit(self, session: Session, kind: str) -> bool:
        with self.condition:
            if kind == "work":
                if self._work_connections >= self.settings.connections:
                    return False
                self._work_connections += 1
            session.kind = kind
        return True


def parse_option(context: click.Context, option: click.Option, text: str | None):
    """Return the parsed address of an option; an error message names the option."""
    if text is None:
        return None
    try:
        return parse_address(text)
    except ValueError as error:
        raise click.BadParameter(str(error)) from error


@click.command()
@click.option("--name", required=True, help="Name of this instance.")
@click.option("--group", required=True, help="Database group of this instance.")
@click.option("--listen", required=True, callback=parse_option, help="HOST:PORT.")
@click.option(
    "--slots", default=3, show_default=True, help="Requests that run at once."
)
@click.option("--connections", default=20, show_default=True)
@click.option("--connect-ms", default=10.0, show_default=True)
@click.option("--service-ms", default=1.0, show_default=True)
@click.option("--lag-ms", default=5.0, show_default=True, help="Lag as a replica.")
@click.option("--primary-term", default=0, help="Start as primary of this term.")
@click.option("--follow", callback=parse_option, help="Start as replica of HOST:PORT.")
def main(**options: Any) -> None:
    """Run an endpoint stand-in until SIGTERM."""
    settings = EndpointSettings(**options)
    runtime = Runtime(task_limit=settings.connections + OTHER_TASKS)
    server = EndpointServer(runtime, settings)
    ended = runtime.make_event()
    signal.signal(signal.SIGTERM, lambda number, frame: ended.set())
    signal.signal(signal.SIGINT, lambda number, frame: ended.set())
    server.start()
    click.echo(f"endpoint: {settings.name} listens on {server.address}")
    ended.wait()
    server.stop()
    runtime.close(STOP_TIMEOUT_MS)


if __name__ == "__main__":
    main()
