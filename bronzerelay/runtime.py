"""The seam to the outside world: time, randomness, tasks, connections."""

# Annotations stay text, so that `ssl` and `urllib3` are imported by those alone that
# use them: they take 12 MB of a process.
from __future__ import annotations

import concurrent.futures
import contextlib
import functools
import os
import random
import select
import signal
import socket
import sys
import threading
import time
import traceback
import weakref
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    import ssl

    import urllib3

RECEIVE_BYTES = 65536
# How often a task that waits for datagrams looks whether the process ends.
DATAGRAM_WAIT_MS = 1000
BACKLOG = 1024
# A connection may fall silent for good while new ones work, and a wait on it lasts as
# long as its timeout: where all daemons' watches of the platform fell silent at once,
# withdrawn keys worked for up to 15 s more. The kernel asks the other side after a
# second of silence, and again each second; after two questions without an answer a wait
# ends with an error, within about 3 s, and the connection is opened anew.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The type of a random source, for modules that name it.
Random = random.Random
# An idle task's stack stays this small, so that thousands of them fit.
TASK_STACK_BYTES = 256 * 1024


class Address(NamedTuple):
    """Where a process listens: an IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as `host:port`."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address that `text` names, or raise ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not an address of the form HOST:PORT")
    return Address(host, int(port))


class ConnectionLostError(OSError):
    """The connection ended before the awaited bytes came."""


class TaskLimitError(RuntimeError):
    """All tasks of the runtime are taken; nothing was started."""


class Clock:
    """Milliseconds of the machine's steady clock, time asleep included.

    A VM may be suspended for seconds, and `time.monotonic` doesn't count them. A proof
    that a primary still led would look young after the VM woke up, and reads would go
    to a primary that was replaced meanwhile.
    """

    def now_ms(self) -> float:
        """Return milliseconds since an arbitrary point; it never goes back."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000

    def wall_ms(self) -> float:
        """Return the time of day in Unix milliseconds, for people; it may jump."""
        return time.time() * 1000

    def sleep_ms(self, duration_ms: float) -> None:
        """Wait for `duration_ms`."""
        if duration_ms > 0:
            time.sleep(duration_ms / 1000)


class Signal:
    """A flag that tasks wait for together with the bytes of a connection.

    An event can't be awaited at the same time as a socket, and a task that looked at
    it now and then would cost processor time on every idle connection.
    """

    def __init__(self):
        self._descriptor = os.eventfd(0)
        self._closer = weakref.finalize(self, os.close, self._descriptor)

    def set(self) -> None:
        """Wake every task that waits for the signal; it stays set for good."""
        os.eventfd_write(self._descriptor, 1)

    def wait(self) -> None:
        """Wait until the signal is set, also by a handler of this very task.

        An event would not do: its `wait` and `set` share a lock, and a handler that
        runs while its own task is about to wait would wait for itself for ever.

        Only the main task may call it. A process's signal that comes just before the
        wait, or is delivered to another task, interrupts nothing, and its handler would
        run when the next one comes. The interpreter therefore tells of each in a pipe.
        """
        reader, writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        before = signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        try:
            poller = select.poll()
            poller.register(self._descriptor, select.POLLIN)
            poller.register(reader, select.POLLIN)
            while not _is_ready(poller.poll(), self._descriptor):
                _drain(reader)
        finally:
            signal.set_wakeup_fd(before)
            os.close(reader)
            os.close(writer)

    def fileno(self) -> int:
        """Return the descriptor, for `poll`."""
        return self._descriptor


def _is_ready(events: list[tuple[int, int]], descriptor: int) -> bool:
    return any(ready == descriptor for ready, _ in events)


def _drain(reader: int) -> None:
    with contextlib.suppress(BlockingIOError):
        os.read(reader, RECEIVE_BYTES)


def _wait_readable(
    sock: socket.socket, timeout_ms: float | None, signal: Signal | None
) -> bool:
    descriptor = sock.fileno()
    if descriptor < 0:
        raise ConnectionLostError("the socket is closed")
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    if signal is not None:
        poller.register(signal, select.POLLIN)
    return _is_ready(poller.poll(timeout_ms), descriptor)


def _keep_alive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def is_encrypted(sock: socket.socket) -> bool:
    """Return whether a socket speaks TLS, without importing `ssl` to find out."""
    return hasattr(sock, "do_handshake")


class Connection:
    """A TCP connection with a timeout for each call."""

    def __init__(self, sock: socket.socket, on_close: Callable[[Connection], None]):
        self._sock = sock
        self._on_close = on_close
        self._timeout_ms: float | None = -1

    def set_timeout(self, timeout_ms: float | None) -> None:
        """Let each later call wait `timeout_ms` at most; None waits for ever."""
        # Setting it costs a system call, and another task takes the interpreter.
        if timeout_ms != self._timeout_ms:
            self._sock.settimeout(None if timeout_ms is None else timeout_ms / 1000)
            self._timeout_ms = timeout_ms

    def send(self, data: bytes) -> None:
        """Send all of `data`, or raise OSError."""
        self._sock.sendall(data)

    def receive(self, limit: int = RECEIVE_BYTES) -> bytes:
        """Return the next bytes; b"" says that the other side has closed."""
        return self._sock.recv(limit)

    def receive_exactly(self, count: int) -> bytes:
        """Return exactly `count` bytes, or raise ConnectionLostError."""
        parts = []
        while count:
            part = self._sock.recv(count)
            if not part:
                raise ConnectionLostError("the other side closed the connection")
            parts.append(part)
            count -= len(part)
        return b"".join(parts)

    def is_quiet(self) -> bool:
        """Return whether the connection is open and no bytes wait; never block.

        Call it between requests only: it leaves the connection without waiting,
        so that a timeout has to be set before the next call. TLS can't do it.
        """
        try:
            self.set_timeout(0)
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def wait_readable(
        self, timeout_ms: float | None, signal: Signal | None = None
    ) -> bool:
        """Return whether bytes (or the end) can be received without waiting.

        Return False when time is up or `signal` is set and nothing has come.
        """
        if is_encrypted(self._sock) and self._sock.pending():
            return True
        return _wait_readable(self._sock, timeout_ms, signal)

    def complete_handshake(self) -> None:
        """Complete the TLS handshake, if there is one, within the set timeout."""
        if is_encrypted(self._sock):
            self._sock.do_handshake()

    def finish_sending(self) -> None:
        """Tell the other side that nothing more comes; receiving goes on."""
        # An SSLSocket's own shutdown would forget the keys of both directions.
        socket.socket.shutdown(self._sock, socket.SHUT_WR)

    def forget(self) -> None:
        """Leave the connection out of the end of the runtime."""
        self._on_close(self)

    def close(self) -> None:
        """Close the connection; a task that waits on it wakes with an error."""
        # Without the shutdown a task blocked in recv sleeps on for ever, and the
        # process can't end, since interpreter exit joins the executor's threads.
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        self._on_close(self)


class Listener:
    """A TCP port; until it is opened it refuses connections."""

    def __init__(
        self,
        sock: socket.socket,
        adopt: Callable[[socket.socket], Connection],
        tls: Callable[[], ssl.SSLContext] | None,
    ):
        self._sock = sock
        self._adopt = adopt
        self._tls = tls
        self.address = Address(*sock.getsockname()[:2])

    def open(self) -> None:
        """Let connections come in; raise OSError when another process has the port."""
        self._sock.listen(BACKLOG)

    def share(self) -> None:
        """Let other processes bind the port, too, as long as it isn't open."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def accept(self) -> Connection:
        """Return the next connection; raise OSError once the listener is closed.

        With TLS the handshake is left to the first send or receive, so that a
        slow caller holds up only its own task.
        """
        sock, _ = self._sock.accept()
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._tls is not None:
                sock = self._tls().wrap_socket(
                    sock, server_side=True, do_handshake_on_connect=False
                )
        except BaseException:
            sock.close()
            raise
        return self._adopt(sock)

    def wait_readable(self, signal: Signal) -> bool:
        """Wait; return True when a connection is there to accept.

        Return False once `signal` is set and no connection is left to accept.
        """
        return _wait_readable(self._sock, None, signal)

    def close(self) -> None:
        """Stop listening and wake the task that waits in `accept`."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


class DatagramSocket:
    """A UDP port; each call may be made by any task."""

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self.address = Address(*sock.getsockname()[:2])

    def send_to(self, data: bytes, address: Address) -> None:
        """Send one datagram, or raise OSError; it may get lost on its way."""
        self._sock.sendto(data, address)

    def receive(self, limit: int) -> bytes:
        """Return the next datagram; raise TimeoutError after DATAGRAM_WAIT_MS."""
        return self._sock.recvfrom(limit)[0]

    def close(self) -> None:
        """Close the port."""
        self._sock.close()


def write_failure(text: str) -> None:
    """Write the traceback of a task that failed to standard error."""
    sys.stderr.write(text)


class Runtime:
    """All that a process needs of the world outside; tests hand in another one."""

    def __init__(self, task_limit: int = 256, seed: int | None = None):
        self.clock = Clock()
        self.random = random.Random(seed)
        self.task_limit = task_limit
        threading.stack_size(TASK_STACK_BYTES)
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=task_limit, thread_name_prefix="task"
        )
        self._lock = threading.Lock()
        self._running = 0
        self._connections: set[Connection] = set()
        self._listeners: set[Listener] = set()
        self._stopping = threading.Event()
        self.report_failure: Callable[[str], None] = write_failure

    def make_random(self, seed: int) -> Random:
        """Return a random source of its own, which repeats itself with the seed."""
        return Random(seed)

    # Tasks

    def start(
        self, function: Callable[..., Any], *args: Any
    ) -> concurrent.futures.Future:
        """Start `function(*args)` as a task of its own and return its future.

        Raise TaskLimitError when every task is taken. An executor would queue the
        call without a word, and a caller would wait for a task that never comes.
        """
        with self._lock:
            if self._running >= self.task_limit:
                raise TaskLimitError(f"all {self.task_limit} tasks are taken")
            self._running += 1
        try:
            return self._executor.submit(self._run, function, args)
        except RuntimeError:
            with self._lock:
                self._running -= 1
            raise

    def _run(self, function: Callable[..., Any], args: tuple) -> Any:
        try:
            return function(*args)
        except Exception:
            # An executor keeps the error in a future that nobody may ever look at;
            # the task would be gone without a word.
            self.report_failure(traceback.format_exc())
            raise
        finally:
            with self._lock:
                self._running -= 1

    def running_tasks(self) -> int:
        """Return how many tasks run now."""
        with self._lock:
            return self._running

    def make_lock(self) -> threading.Lock:
        """Return a new lock."""
        return threading.Lock()

    def make_condition(self) -> threading.Condition:
        """Return a new condition with a lock of its own."""
        return threading.Condition()

    def make_event(self) -> threading.Event:
        """Return a new event."""
        return threading.Event()

    def make_signal(self) -> Signal:
        """Return a new signal."""
        return Signal()

    def wait_for(
        self,
        condition: threading.Condition,
        predicate: Callable[[], Any],
        timeout_ms: float,
    ) -> Any:
        """Wait, the condition held, until `predicate` is true or time is up.

        Return the last value of `predicate`.
        """
        return condition.wait_for(predicate, max(0.0, timeout_ms) / 1000)

    def sleep_ms(self, duration_ms: float) -> bool:
        """Wait for `duration_ms`; return False at once when the process stops."""
        return not self._stopping.wait(max(0.0, duration_ms) / 1000)

    @property
    def stopping(self) -> bool:
        """Whether the process has begun to end."""
        return self._stopping.is_set()

    # Connections

    def dial(
        self,
        address: Address,
        timeout_ms: float,
        tls: ssl.SSLContext | None = None,
        server_name: str = "",
    ) -> Connection:
        """Return a connection to `address`, or raise OSError within the timeout."""
        sock = socket.create_connection(address, timeout_ms / 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _keep_alive(sock)
        if tls is not None:
            sock = tls.wrap_socket(sock, server_hostname=server_name or address.host)
        return self._adopt(sock)

    def listen(
        self, address: Address, tls: Callable[[], ssl.SSLContext] | None = None
    ) -> Listener:
        """Return an open listener on `address`; port 0 takes a free one."""
        listener = self.bind(address, tls)
        try:
            listener.open()
        except OSError:
            listener.close()
            raise
        return listener

    def bind(
        self, address: Address, tls: Callable[[], ssl.SSLContext] | None = None
    ) -> Listener:
        """Return a listener that refuses connections until it is opened.

        The kernel accepts connections for an open one that nobody looks at yet. Their
        callers would wait for a process that starts, where another would serve them.
        """
        return self._bind(address, tls, shared=True)

    def reserve_port(self, address: Address) -> Listener:
        """Return a listener, never to be opened, on a port that nobody has bound.

        Other processes may open the port while it is held, but can't reserve it.
        """
        listener = self._bind(address, None, shared=False)
        listener.share()
        return listener

    def _bind(
        self,
        address: Address,
        tls: Callable[[], ssl.SSLContext] | None,
        shared: bool,
    ) -> Listener:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, shared)
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        listener = Listener(sock, self._adopt, tls)
        with self._lock:
            self._listeners.add(listener)
        return listener

    def open_datagram_socket(self, address: Address) -> DatagramSocket:
        """Return a UDP port on `address`; port 0 takes a free one."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(address)
        sock.settimeout(DATAGRAM_WAIT_MS / 1000)
        return DatagramSocket(sock)

    def open_http_pool(
        self, address: Address, pool_size: int, tls: ssl.SSLContext | None = None
    ) -> urllib3.HTTPConnectionPool:
        """Return a pool of HTTP connections that never retries by itself.

        With TLS the end of the runtime doesn't close them: they last as long as the
        timeout of their request.
        """
        import urllib3

        from bronzerelay.httpconnection import TrackedHttpConnection

        if tls is not None:
            return urllib3.HTTPSConnectionPool(
                address.host,
                address.port,
                maxsize=pool_size,
                block=False,
                retries=False,
                ssl_context=tls,
            )
        pool = urllib3.HTTPConnectionPool(
            address.host, address.port, maxsize=pool_size, block=False, retries=False
        )
        pool.ConnectionCls = functools.partial(TrackedHttpConnection, self._adopt)
        return pool

    def _adopt(self, sock: socket.socket) -> Connection:
        connection = Connection(sock, self._forget)
        with self._lock:
            self._connections.add(connection)
        return connection

    def _forget(self, connection: Connection) -> None:
        with self._lock:
            self._connections.discard(connection)

    # The end

    def close(self, deadline_ms: float) -> bool:
        """Close every socket, then wait for the tasks; return whether all ended.

        Sockets go first: a task that waits for bytes would otherwise hold up the
        end of the process, because interpreter exit joins all tasks.
        """
        self._stopping.set()
        with self._lock:
            listeners = list(self._listeners)
            connections = list(self._connections)
        for listener in listeners:
            listener.close()
        for connection in connections:
            connection.close()
        self._executor.shutdown(wait=False, cancel_futures=True)
        end_ms = self.clock.now_ms() + deadline_ms
        while self.running_tasks() and self.clock.now_ms() < end_ms:
            self.clock.sleep_ms(5)
        return self.running_tasks() == 0
