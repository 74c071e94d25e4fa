"""The HTTP/1.1 front: callers' connections, one task for each."""

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
from bronzerelay.tls import open_tls
from bronzerelay.wire import CONTINUE, CallerRequest, RequestParser, format_answer

# When a caller that met the limit of connections, or the drain, should come back.
COME_BACK_MS = 1000
# How long the accepting task may take to send a refusal.
REFUSAL_SEND_MS = 100
# How long the front reads on after its last answer. Closing a socket that holds
# unread bytes resets the connection, and the answer would be lost on its way.
LINGER_MS = 1000
# Refused connections that wait to be closed; the oldest give way to more.
REFUSED_LIMIT = 256
# Connections accepted after a drain began; a flood must not hold up the end.
LATE_CONNECTIONS = 1024
# A drain ends the first idle connections at once and more of them wave by wave, with a
# pause for each connection.
FIRST_WAVE = 64
LATER_WAVES = 128
WAVE_PAUSE_MS = 0.3
# Without descriptors or memory the waiting connection can't be taken off the queue,
# and the accepting task would try again and again without a pause. Any other error is
# one connection's own, which must not hold up the next.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
ACCEPT_PAUSE_MS = 50


class FrontSettings(NamedTuple):
    """Limits of the front; times are milliseconds, sizes are bytes."""

    listen: Address
    max_connections: int = 400
    max_body_bytes: int = 1_048_576
    max_header_bytes: int = 16_384
    request_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
    tls_certificate: str = ""
    tls_key: str = ""


def pick_front_settings(settings: DaemonSettings) -> FrontSettings:
    """Return the part of the daemon's settings that the front needs."""
    return FrontSettings(*(getattr(settings, field) for field in FrontSettings._fields))


class Wave:
    """Connections that a drain wakes together."""

    def __init__(self, signal: Signal):
        self.signal = signal
        self.count = 0


@register(FRONT, "http")
class HttpFront:
    """Accepts callers' connections and answers each request in its order."""

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
        own_handlers = handlers._replace(check_ready=self._check_open)
        self._router = RequestRouter(runtime, own_handlers, metrics, log)
        self._metrics = metrics
        self._log = log
        self._changed = runtime.make_condition()
        self._open = 0
        self._accepting = False
        self._refused: deque[tuple[Connection, float]] = deque()
        self._draining = False
        self._drain: Signal = runtime.make_signal()
        self._first_wave = Wave(self._drain)
        self._later_waves = [Wave(runtime.make_signal()) for _ in range(LATER_WAVES)]
        self._tls = None
        if settings.tls_certificate:
            self._tls = open_tls(settings.tls_certificate, settings.tls_key, log)
        self._listener = runtime.bind(settings.listen, self._tls)
        self.address = self._listener.address

    # The life of the front

    def start(self) -> None:
        """Begin to accept connections."""
        self._listener.open()
        self._accepting = True
        self._runtime.start(self._close_refused)
        self._runtime.start(self._accept)
        self._log.info("Callers can connect.", extra={"address": str(self.address)})

    def drain(self, deadline_ms: float) -> bool:
        """Stop accepting, answer what runs, close; return whether all ended.

        Requests that arrive on open connections meanwhile are answered, too.
        """
        with self._changed:
            self._draining = True
            self._changed.notify_all()
            self._drain.set()
        end_ms = self._runtime.clock.now_ms() + deadline_ms
        self._wake_waves(end_ms)
        with self._changed:
            ended = self._runtime.wait_for(
                self._changed,
                lambda: not self._accepting and not self._open,
                end_ms - self._runtime.clock.now_ms(),
            )
            left = self._open
        self._log.info("The drain is over.", extra={"connections_left": left})
        return bool(ended)

    def _wake_waves(self, end_ms: float) -> None:
        """Tell the idle connections of the drain, a few at a time.

        Woken all at once, thousands of tasks each ask for the interpreter every
        switch interval and leave none of the processor to the one that has it: a
        drain of 2,000 connections took 20 s, longer than it may, and cut requests.
        """
        clock = self._runtime.clock
        for wave in self._later_waves:
            wave.signal.set()
            left_ms = end_ms - clock.now_ms()
            clock.sleep_ms(min(wave.count * WAVE_PAUSE_MS, left_ms))

    def _check_open(self) -> Result[None, Refusal]:
        if self._draining:
            return self._refuse_stopping()
        return self._check_ready()

    def _refuse_stopping(self) -> Result[None, Refusal]:
        message = "The daemon is stopping."
        return refuse(Code.STOPPING, message, COME_BACK_MS)

    # Accepting

    def _accept(self) -> None:
        late = 0
        try:
            while late < LATE_CONNECTIONS and self._listener.wait_readable(self._drain):
                late += self._draining
                self._accept_one()
        except OSError:
            # The runtime closed the listener because the process ends.
            self._log.info("The listener is closed.")
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
            if error.errno in EXHAUSTED:
                self._runtime.sleep_ms(ACCEPT_PAUSE_MS)
            return
        wave = self._reserve()
        if wave is None:
            self._refuse_connection(connection)
            return
        try:
            self._runtime.start(self._serve, connection, wave)
        except RuntimeError:
            # Other work has taken every task, or the process ends.
            self._release(wave)
            self._refuse_connection(connection)

    def _reserve(self) -> Wave | None:
        with self._changed:
            if self._open >= self._settings.max_connections:
                return None
            wave = self._choose_wave()
            wave.count += 1
            self._open += 1
            count = self._open
        self._metrics.count_event("connection_accepted")
        self._metrics.set_gauge("connections", count)
        return wave

    def _choose_wave(self) -> Wave:
        if self._first_wave.count < FIRST_WAVE:
            return self._first_wave
        return min(self._later_waves, key=lambda wave: wave.count)

    def _release(self, wave: Wave) -> None:
        with self._changed:
            wave.count -= 1
            self._open -= 1
            count = self._open
            self._changed.notify_all()
        self._metrics.set_gauge("connections", count)

    def _refuse_connection(self, connection: Connection) -> None:
        """Answer a connection over the limit at once, from the accepting task.

        No task is free for it, and in a queue it would wait in silence until its
        caller's own timeout.
        """
        self._metrics.count_refusal(Code.CONNECTION_LIMIT, NO_WORKSPACE)
        # A handshake takes as long as the caller likes, and would hold up all others.
        if self._tls is None and not self._send_limit(connection, REFUSAL_SEND_MS):
            connection.close()
            return
        self._queue_refused(connection)

    def _send_limit(self, connection: Connection, timeout_ms: float) -> bool:
        """Send the refusal for too many connections; return whether it went out."""
        limit = self._settings.max_connections
        message = f"The daemon serves {limit} connections already."
        refusal = refuse(Code.CONNECTION_LIMIT, message, COME_BACK_MS).error
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
            if len(self._refused) >= REFUSED_LIMIT:
                oldest, _ = self._refused.popleft()
            self._refused.append((connection, end_ms))
            self._changed.notify_all()
        if oldest is not None:
            oldest.close()

    def _close_refused(self) -> None:
        while True:
            with self._changed:
                while not self._refused:
                    if not self._accepting:
                        return
                    self._changed.wait()
                connection, end_ms = self._refused.popleft()
            if self._tls is not None:
                left_ms = end_ms - self._runtime.clock.now_ms()
                self._send_limit(connection, max(left_ms, REFUSAL_SEND_MS))
            self._linger(connection, end_ms)
            connection.close()

    # One connection

    def _serve(self, connection: Connection, wave: Wave) -> None:
        try:
            connection.set_timeout(self._settings.request_timeout_ms)
            connection.complete_handshake()
            self._converse(connection, wave.signal)
        except OSError:
            # Callers leave whenever they like, also before their answer.
            self._metrics.count_event("caller_disconnected")
        except Exception:
            self._metrics.count_event("connection_failed")
            self._log.exception("A connection ended by a fault.")
        finally:
            connection.close()
            self._release(wave)

    def _converse(self, connection: Connection, drain: Signal) -> None:
        settings = self._settings
        parser = RequestParser(settings.max_header_bytes, settings.max_body_bytes)
        keep_alive = True
        while keep_alive:
            request = self._read_request(connection, parser, drain)
            if request is None:
                return
            if isinstance(request, Refusal):
                self._send_refusal(connection, request)
                break
            request_id = self._router.choose_request_id(request)
            answer = self._router.answer(request, request_id)
            keep_alive = request.keep_alive and self._stays_open(connection, parser)
            connection.set_timeout(settings.request_timeout_ms)
            data = format_answer(answer, request_id, keep_alive, request.method)
            connection.send(data)
        connection.finish_sending()
        self._linger(connection, self._runtime.clock.now_ms() + LINGER_MS)

    def _stays_open(self, connection: Connection, parser: RequestParser) -> bool:
        """Return whether the answer may leave the connection open.

        During a drain it may only where the caller has sent more already, which
        would otherwise be cut.
        """
        if not self._draining:
            return True
        more = parser.requests or parser.begun
        return bool(more) or connection.wait_readable(0)

    def _read_request(
        self, connection: Connection, parser: RequestParser, drain: Signal
    ) -> CallerRequest | Refusal | None:
        """Return the next request, why there is none, or None at the end."""
        if not parser.requests and parser.fault is None and not parser.begun:
            refusal = self._wait_idle(connection, drain)
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
            if parser.take_continue() and parser.fault is None:
                connection.send(CONTINUE)
            left_ms = end_ms - clock.now_ms()
        return parser.requests.popleft()

    def _wait_idle(self, connection: Connection, drain: Signal) -> Refusal | None:
        """Wait for the first bytes of a request; return why the wait is over.

        A request may be on its way while the front gives up. Closing without a
        word would cut it; with an answer sent first, its caller reads that nothing
        ran, and may send it to another daemon.
        """
        timeout_ms = self._settings.idle_timeout_ms
        if connection.wait_readable(timeout_ms, drain):
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
        """Read until the caller closes or time is up, and drop what comes."""
        clock = self._runtime.clock
        with contextlib.suppress(OSError):
            while (left_ms := end_ms - clock.now_ms()) > 0:
                connection.set_timeout(left_ms)
                if not connection.receive():
                    return
