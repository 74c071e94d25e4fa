"""The HTTP/1.1 front: accepts callers' connections and serves each in its own task."""

import contextlib
import errno
from collections import deque
from logging import Logger
from typing import NamedTuple

from expression import Result

from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.metrics import Metrics
from bronzerelay.registry import FRONT, register
from bronzerelay.router import NO_WORKSPACE, Handlers, RequestRouter, format_refusal
from bronzerelay.runtime import Address, Connection, Runtime, Signal
from bronzerelay.settings import DaemonSettings
from bronzerelay.tls import make_context_loader
from bronzerelay.wire import CONTINUE, CallerRequest, RequestParser, format_answer

# Retry-After of refusals because of the connection limit or a drain.
RETRY_AFTER_MS = 1000
# How long the accepting task may take to send a refusal.
REFUSAL_SEND_MS = 100
# How long the front keeps reading after its last answer. Closing a socket that has
# unread bytes resets the connection, and the answer could be lost in transit.
LINGER_MS = 1000
# How many refused connections may wait to be closed; a further one closes the oldest.
MAX_REFUSED_CONNECTIONS = 256
# How many connections are accepted after a drain began. Without a limit, a flood of
# connections could keep the drain from ending.
MAX_LATE_CONNECTIONS = 1024
# A drain wakes the connections of the first batch at once and the others batch by
# batch, with a pause in proportion to the size of each batch.
FIRST_BATCH_SIZE = 64
LATER_BATCH_COUNT = 128
PAUSE_PER_CONNECTION_MS = 0.3
# When file descriptors or memory run out, the pending connection stays in the kernel's
# queue, and without a pause the accepting task would retry in a busy loop. Any other
# error concerns one connection only and must not delay the next one.
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
ACCEPT_PAUSE_MS = 50


class FrontSettings(NamedTuple):
    """Settings of the front; times are milliseconds, sizes are bytes."""

    listen: Address
    max_connections: int = 400
    max_body_bytes: int = 1_048_576
    max_header_bytes: int = 16_384
    request_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
    tls_certificate: str = ""
    tls_key: str = ""


def pick_front_settings(settings: DaemonSettings) -> FrontSettings:
    """Return the daemon's settings that concern the front."""
    return FrontSettings(*(getattr(settings, field) for field in FrontSettings._fields))


class DrainBatch:
    """A group of connections that a drain wakes with one signal."""

    def __init__(self, signal: Signal):
        self.signal = signal
        self.count = 0


@register(FRONT, "http")
class HttpFront:
    """Accepts callers' connections and answers the requests of each in order."""

    def __init__(
        self,
        runtime: Runtime,
        settings: FrontSettings,
        handlers: Handlers,
        metrics: Metrics,
        log: Logger,
    ):
        self._runtime = runtime
        self._settings = settings
        self._check_ready = handlers.check_ready
        own_handlers = handlers._replace(check_ready=self._check_not_draining)
        self._router = RequestRouter(runtime, own_handlers, metrics, log)
        self._metrics = metrics
        self._log = log
        self._changed = runtime.make_condition()
        self._open_count = 0
        self._accepting = False
        self._refused_connections: deque[tuple[Connection, float]] = deque()
        self._draining = False
        self._drain_signal: Signal = runtime.make_signal()
        self._first_batch = DrainBatch(self._drain_signal)
        self._later_batches = [
            DrainBatch(runtime.make_signal()) for _ in range(LATER_BATCH_COUNT)
        ]
        self._tls = None
        if settings.tls_certificate:
            self._tls = make_context_loader(
                settings.tls_certificate, settings.tls_key, log
            )
        self._listener = runtime.bind(settings.listen, self._tls)
        self.address = self._listener.address

    # Start and drain

    def start(self) -> None:
        """Start to accept connections."""
        self._listener.open()
        self._accepting = True
        self._runtime.keep_running(self._close_refused)
        self._runtime.start(self._accept)
        self._log.info("The front is listening.", extra={"address": str(self.address)})

    def drain(self, deadline_ms: float) -> bool:
        """Stop accepting, answer running requests and close all connections.

        Requests that arrive on open connections during the drain are answered as well.
        Return whether all connections were closed before the deadline.
        """
        with self._changed:
            self._draining = True
            self._changed.notify_all()
            self._drain_signal.set()
        end_ms = self._runtime.clock.now_ms() + deadline_ms
        self._wake_batches(end_ms)
        with self._changed:
            ended = self._runtime.wait_for(
                self._changed,
                lambda: not self._accepting and not self._open_count,
                end_ms - self._runtime.clock.now_ms(),
            )
            left = self._open_count
        self._log.info("The drain has ended.", extra={"connections_left": left})
        return bool(ended)

    def _wake_batches(self, end_ms: float) -> None:
        """Wake the tasks of idle connections in batches, so that they close.

        When thousands of tasks wake at once, each requests the GIL every switch
        interval, and the one that holds it makes hardly any progress: a drain of 2,000
        connections took 20 s, more than its deadline, and requests were cut.
        """
        clock = self._runtime.clock
        for batch in self._later_batches:
            batch.signal.set()
            left_ms = end_ms - clock.now_ms()
            clock.sleep_ms(min(batch.count * PAUSE_PER_CONNECTION_MS, left_ms))

    def _check_not_draining(self) -> Result[None, Refusal]:
        if self._draining:
            return self._refuse_stopping()
        return self._check_ready()

    def _refuse_stopping(self) -> Result[None, Refusal]:
        message = "The daemon is stopping."
        return refuse(Code.STOPPING, message, RETRY_AFTER_MS)

    # Accepting

    def _accept(self) -> None:
        late_count = 0
        try:
            while late_count < MAX_LATE_CONNECTIONS and self._listener.wait_readable(
                self._drain_signal
            ):
                late_count += self._draining
                self._accept_one()
        except OSError:
            # The runtime closed the listener because the process is stopping.
            self._log.info("The listener was closed.")
        finally:
            self._listener.close()
            with self._changed:
                self._accepting = False
                self._changed.notify_all()

    def _accept_one(self) -> None:
        try:
            connection = self._listener.accept()
        except OSError as error:
            if self._runtime.stopping:
                raise
            self._metrics.count_event("accept_failed")
            self._log.warning("A connection was not accepted: %s.", error)
            if error.errno in RESOURCE_ERRORS:
                self._runtime.sleep_ms(ACCEPT_PAUSE_MS)
            return
        batch = self._reserve()
        if batch is None:
            self._refuse_connection(connection)
            return
        try:
            self._runtime.start(self._serve, connection, batch)
        except RuntimeError:
            # All tasks of the runtime are in use, or the process is stopping.
            self._release(batch)
            self._refuse_connection(connection)

    def _reserve(self) -> DrainBatch | None:
        with self._changed:
            if self._open_count >= self._settings.max_connections:
                return None
            batch = self._choose_batch()
            batch.count += 1
            self._open_count += 1
            count = self._open_count
        self._metrics.count_event("connection_accepted")
        self._metrics.set_gauge("connections", count)
        return batch

    def _choose_batch(self) -> DrainBatch:
        if self._first_batch.count < FIRST_BATCH_SIZE:
            return self._first_batch
        return min(self._later_batches, key=lambda batch: batch.count)

    def _release(self, batch: DrainBatch) -> None:
        with self._changed:
            batch.count -= 1
            self._open_count -= 1
            count = self._open_count
            self._changed.notify_all()
        self._metrics.set_gauge("connections", count)

    def _refuse_connection(self, connection: Connection) -> None:
        """Refuse a connection over the limit immediately, from the accepting task.

        No task is free for it, and if it were queued, its caller would get no answer
        until the caller's own timeout.
        """
        self._metrics.count_refusal(Code.CONNECTION_LIMIT, NO_WORKSPACE)
        # A slow caller could draw out a TLS handshake and block all other connections.
        if self._tls is None and not self._send_limit_refusal(
            connection, REFUSAL_SEND_MS
        ):
            connection.close()
            return
        self._queue_refused(connection)

    def _send_limit_refusal(self, connection: Connection, timeout_ms: float) -> bool:
        """Send the refusal for too many connections; return whether it was sent."""
        limit = self._settings.max_connections
        message = f"The daemon serves {limit} connections already."
        refusal = refuse(Code.CONNECTION_LIMIT, message, RETRY_AFTER_MS).error
        request_id = self._router.make_request_id()
        answer = format_answer(format_refusal(refusal, request_id), request_id, False)
        try:
            connection.set_timeout(timeout_ms)
            connection.complete_handshake()
            connection.send(answer)
            connection.finish_sending()
        except OSError:
            return False
        return True

    def _queue_refused(self, connection: Connection) -> None:
        end_ms = self._runtime.clock.now_ms() + LINGER_MS
        oldest = None
        with self._changed:
            if len(self._refused_connections) >= MAX_REFUSED_CONNECTIONS:
                oldest, _ = self._refused_connections.popleft()
            self._refused_connections.append((connection, end_ms))
            self._changed.notify_all()
        if oldest is not None:
            oldest.close()

    def _close_refused(self) -> None:
        while True:
            with self._changed:
                while not self._refused_connections:
                    if not self._accepting:
                        return
                    self._changed.wait()
                connection, end_ms = self._refused_connections.popleft()
            if self._tls is not None:
                left_ms = end_ms - self._runtime.clock.now_ms()
                self._send_limit_refusal(connection, max(left_ms, REFUSAL_SEND_MS))
            self._linger(connection, end_ms)
            connection.close()

    # Serving a connection

    def _serve(self, connection: Connection, batch: DrainBatch) -> None:
        try:
            connection.set_timeout(self._settings.request_timeout_ms)
            connection.complete_handshake()
            self._serve_requests(connection, batch.signal)
        except OSError:
            # A caller may disconnect at any time, even before its answer.
            self._metrics.count_event("caller_disconnected")
        except Exception:
            self._metrics.count_event("connection_failed")
            self._log.exception("A connection failed with an unexpected error.")
        finally:
            connection.close()
            self._release(batch)

    def _serve_requests(self, connection: Connection, drain_signal: Signal) -> None:
        settings = self._settings
        parser = RequestParser(settings.max_header_bytes, settings.max_body_bytes)
        keep_alive = True
        while keep_alive:
            request = self._read_request(connection, parser, drain_signal)
            if request is None:
                return
            if isinstance(request, Refusal):
                self._send_refusal(connection, request)
                break
            request_id = self._router.choose_request_id(request)
            answer = self._router.answer(request, request_id)
            keep_alive = request.keep_alive and self._may_stay_open(connection, parser)
            connection.set_timeout(settings.request_timeout_ms)
            data = format_answer(answer, request_id, keep_alive, request.method)
            connection.send(data)
        connection.finish_sending()
        self._linger(connection, self._runtime.clock.now_ms() + LINGER_MS)

    def _may_stay_open(self, connection: Connection, parser: RequestParser) -> bool:
        """Return whether the connection stays open after this answer.

        During a drain it stays open only if the caller has already sent more bytes,
        since closing it would cut that request.
        """
        if not self._draining:
            return True
        received = parser.requests or parser.has_partial_request
        return bool(received) or connection.wait_readable(0)

    def _read_request(
        self, connection: Connection, parser: RequestParser, drain_signal: Signal
    ) -> CallerRequest | Refusal | None:
        """Return the next request, a refusal, or None when the caller has closed."""
        if (
            not parser.requests
            and parser.fault is None
            and not parser.has_partial_request
        ):
            refusal = self._wait_idle(connection, drain_signal)
            if refusal is not None:
                return refusal
        clock = self._runtime.clock
        left_ms = self._settings.request_timeout_ms
        end_ms = clock.now_ms() + left_ms
        while not parser.requests:
            if parser.fault is not None:
                return parser.fault
            if left_ms <= 0:
                return self._refuse_slow()
            connection.set_timeout(left_ms)
            try:
                data = connection.receive()
            except TimeoutError:
                return self._refuse_slow()
            if not data:
                return None
            parser.feed(data)
            if parser.consume_expect_continue() and parser.fault is None:
                connection.send(CONTINUE)
            left_ms = end_ms - clock.now_ms()
        return parser.requests.popleft()

    def _wait_idle(
        self, connection: Connection, drain_signal: Signal
    ) -> Refusal | None:
        """Wait for the first bytes of a request; return a refusal if none arrive.

        A request may be in transit when the front closes the connection. Closing
        without an answer would cut it; a refusal that is sent first tells the caller
        that the request did not run, so that it can be sent to another daemon.
        """
        timeout_ms = self._settings.idle_timeout_ms
        if connection.wait_readable(timeout_ms, drain_signal):
            return None
        if self._draining:
            return self._refuse_stopping().error
        message = f"No request came within {timeout_ms} ms."
        return refuse(Code.CALLER_TOO_SLOW, message).error

    def _refuse_slow(self) -> Refusal:
        timeout_ms = self._settings.request_timeout_ms
        message = f"The request did not arrive whole within {timeout_ms} ms."
        return refuse(Code.CALLER_TOO_SLOW, message).error

    def _send_refusal(self, connection: Connection, refusal: Refusal) -> None:
        self._metrics.count_refusal(refusal.code, NO_WORKSPACE)
        request_id = self._router.make_request_id()
        answer = format_refusal(refusal, request_id)
        connection.set_timeout(self._settings.request_timeout_ms)
        connection.send(format_answer(answer, request_id, False))

    def _linger(self, connection: Connection, end_ms: float) -> None:
        """Read and discard bytes until the caller closes or `end_ms` has passed."""
        clock = self._runtime.clock
        with contextlib.suppress(OSError):
            while (left_ms := end_ms - clock.now_ms()) > 0:
                connection.set_timeout(left_ms)
                if not connection.receive():
                    return
