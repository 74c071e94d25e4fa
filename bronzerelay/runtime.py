"""The runtime: clock, randomness, tasks (threads) and sockets, replaceable in tests."""

# Postponed annotations let `ssl` and `urllib3` be imported only where they are used:
# they take 12 MB of memory per process.
from __future__ import annotations

import concurrent.futures
import contextlib
import functools
import os
import random
import select
import signal
import socket
import struct
import sys
import threading
import time
import traceback
import weakref
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    import ssl

    import urllib3

RECEIVE_BYTES = 65536
# How often a task that waits for datagrams checks whether the process is stopping.
DATAGRAM_WAIT_MS = 1000
BACKLOG = 1024
# TCP keepalive. A connection may go silent without a reset while new ones still work,
# and a read on it then lasts until its timeout: when all daemons' watches of the
# platform went silent at once, withdrawn keys kept working for up to 15 s longer. The
# kernel sends a probe after one second of silence and then every second; after two
# unanswered probes the read fails, within about 3 s, and the caller reconnects.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The value of SO_LINGER with which closing a socket resets its connection.
LINGER_NONE = struct.pack("ii", 1, 0)
# The type of a random number generator, for annotations in other modules.
Random = random.Random
# The stack size of a task, kept small so that thousands of idle tasks fit in memory.
TASK_STACK_BYTES = 256 * 1024
# How long a task that has to go on rests after an error before it is called again, in
# milliseconds.
RESTART_PAUSE_MS = 100


class Address(NamedTuple):
    """Where a process listens: an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as `host:port`."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address that `text` gives as `host:port`, or raise ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not an address of the form HOST:PORT")
    return Address(host, int(port))


def parse_ip_address(text: str) -> Address:
    """Return the IPv4 address and port in `text`, or raise ValueError.

    Only the canonical form is accepted: otherwise one instance, written in two ways,
    would count as two. Names are not accepted, as a task would wait for their lookup.
    """
    address = parse_address(text)
    if str(address) != text or address.port == 0 or not _is_ipv4(address.host):
        raise ValueError(f"{text!r} isn't an IPv4 address and port in canonical form")
    return address


def _is_ipv4(host: str) -> bool:
    """Return whether the host is an IPv4 address."""
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return True


class ConnectionLostError(OSError):
    """The connection ended before the expected bytes arrived."""


class TaskLimitError(RuntimeError):
    """The runtime's task limit is reached; nothing was started."""


class Clock:
    """The machine's monotonic clock in milliseconds, including time suspended.

    A VM may be suspended for seconds, and `time.monotonic` doesn't count them. After
    the VM resumed, an old proof that an instance is primary would look fresh, and reads
    would go to a primary that was replaced in the meantime.
    """

    def now_ms(self) -> float:
        """Return milliseconds since an arbitrary point; the value never decreases."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000

    def wall_ms(self) -> float:
        """Return the time of day in Unix milliseconds, for display; it may jump."""
        return time.time() * 1000

    def sleep_ms(self, duration_ms: float) -> None:
        """Wait for `duration_ms`."""
        if duration_ms > 0:
            time.sleep(duration_ms / 1000)


class Signal:
    """A flag that a task can wait for at the same time as for a socket.

    `threading.Event` can't be polled together with a socket, and checking it
    periodically would cost CPU time on every idle connection.
    """

    def __init__(self):
        self.is_set = False
        self._descriptor = os.eventfd(0)
        self._closer = weakref.finalize(self, os.close, self._descriptor)

    def set(self) -> None:
        """Wake every task that waits for the signal; it stays set permanently."""
        self.is_set = True
        os.eventfd_write(self._descriptor, 1)

    def wait(self) -> None:
        """Wait until the signal is set, possibly by a signal handler of this task.

        `threading.Event` would deadlock: its `wait` and `set` share a lock, so a
        handler that calls `set` while the same thread holds the lock in `wait` would
        block forever.

        Only the main task may call it. A Unix signal that arrives just before the
        wait, or is delivered to another thread, doesn't interrupt `poll`, and its
        handler would run only when the next one arrives. The interpreter therefore
        writes each Unix signal to a pipe that is polled as well.
        """
        reader, writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        previous_fd = signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        try:
            poller = select.poll()
            poller.register(self._descriptor, select.POLLIN)
            poller.register(reader, select.POLLIN)
            while not _is_ready(poller.poll(), self._descriptor):
                _empty_pipe(reader)
        finally:
            signal.set_wakeup_fd(previous_fd)
            os.close(reader)
            os.close(writer)

    def fileno(self) -> int:
        """Return the descriptor, for `poll`."""
        return self._descriptor


def _is_ready(events: list[tuple[int, int]], descriptor: int) -> bool:
    return any(ready == descriptor for ready, _ in events)


def _empty_pipe(reader: int) -> None:
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
    """Return whether a socket uses TLS, without importing `ssl`."""
    return hasattr(sock, "do_handshake")


class Connection:
    """A TCP connection with a timeout for each call.

    Any task may close it. Its descriptor stays open until the calls of other tasks have
    returned: the kernel looks descriptors up again when it wakes a waiting task, and if
    the number stood for a newer connection by then, the task would go on waiting.
    """

    def __init__(self, sock: socket.socket, on_close: Callable[[Connection], None]):
        self._sock = sock
        self._on_close = on_close
        self._timeout_ms: float | None = -1
        self._lock = threading.Lock()
        self._calls = 0
        self._closing = False

    def _call(self, function: Callable[..., Any], *args: Any) -> Any:
        """Call `function`, which uses the descriptor, and return its result."""
        with self._lock:
            if self._closing:
                raise ConnectionLostError("the connection is closed")
            self._calls += 1
        try:
            return function(*args)
        finally:
            with self._lock:
                self._calls -= 1
                is_last = self._closing and not self._calls
            if is_last:
                self._sock.close()

    def set_timeout(self, timeout_ms: float | None) -> None:
        """Let each later call wait `timeout_ms` at most; None waits forever."""
        # `settimeout` makes a system call, which also lets another thread take the GIL.
        if timeout_ms != self._timeout_ms:
            self._sock.settimeout(None if timeout_ms is None else timeout_ms / 1000)
            self._timeout_ms = timeout_ms

    def send(self, data: bytes) -> None:
        """Send all of `data`, or raise OSError."""
        self._call(self._sock.sendall, data)

    def receive(self, limit: int = RECEIVE_BYTES) -> bytes:
        """Return the next bytes; b"" means that the other side has closed."""
        return self._call(self._sock.recv, limit)

    def receive_exactly(self, count: int) -> bytes:
        """Return exactly `count` bytes, or raise ConnectionLostError."""
        chunks = []
        while count:
            chunk = self._call(self._sock.recv, count)
            if not chunk:
                raise ConnectionLostError("the other side closed the connection")
            chunks.append(chunk)
            count -= len(chunk)
        return b"".join(chunks)

    def is_quiet(self) -> bool:
        """Return whether the connection is open with no unread bytes; never block.

        Call it only between requests: it sets the timeout to 0, so the caller has to
        set a timeout before the next call. It doesn't work with TLS.
        """
        try:
            self.set_timeout(0)
            self._call(self._sock.recv, 1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def wait_readable(
        self, timeout_ms: float | None, signal: Signal | None = None
    ) -> bool:
        """Wait; return whether bytes or the end of the stream can be received.

        Return False when the timeout passed or `signal` was set and nothing arrived.
        """
        if is_encrypted(self._sock) and self._sock.pending():
            return True
        return self._call(_wait_readable, self._sock, timeout_ms, signal)

    def complete_handshake(self) -> None:
        """Complete the TLS handshake, if TLS is used, within the set timeout."""
        if is_encrypted(self._sock):
            self._call(self._sock.do_handshake)

    def finish_sending(self) -> None:
        """Shut down the sending side; receiving still works."""
        # `SSLSocket.shutdown` would drop the TLS state of both directions.
        socket.socket.shutdown(self._sock, socket.SHUT_WR)

    def untrack(self) -> None:
        """Stop tracking the connection: closing the runtime no longer closes it."""
        self._on_close(self)

    def close(self) -> None:
        """Close the connection; a task that waits on it gets an error."""
        # Without the shutdown a task blocked in recv would never wake, and the process
        # couldn't exit, since interpreter exit joins the executor's threads.
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._close_unused()

    def _close_unused(self) -> None:
        """Close the socket, or let the last call that uses it do so."""
        with self._lock:
            self._closing = True
            is_unused = not self._calls
        if is_unused:
            self._sock.close()
        self._on_close(self)

    def abort(self) -> None:
        """Reset the connection: sent bytes that haven't arrived are discarded.

        After a normal close they would still arrive when a network partition heals.
        """
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        self._close_unused()


class Listener:
    """A bound TCP port; it refuses connections until it is opened."""

    def __init__(
        self,
        sock: socket.socket,
        track: Callable[[socket.socket], Connection],
        tls: Callable[[], ssl.SSLContext] | None,
    ):
        self._sock = sock
        self._track = track
        self._tls = tls
        self.address = Address(*sock.getsockname()[:2])

    def open(self) -> None:
        """Start to listen; raise OSError when another process listens on the port."""
        self._sock.listen(BACKLOG)

    def allow_shared_binding(self) -> None:
        """Let other processes bind the port as well, as long as it isn't open."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def accept(self) -> Connection:
        """Return the next connection; raise OSError once the listener is closed.

        With TLS the handshake is left to the first send or receive, so that a
        slow caller blocks only its own task.
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
        return self._track(sock)

    def wait_readable(self, signal: Signal) -> bool:
        """Wait; return True when a connection can be accepted.

        Return False once `signal` is set and no connection is waiting.
        """
        return _wait_readable(self._sock, None, signal)

    def close(self) -> None:
        """Stop listening and wake the task blocked in `accept`."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


@contextlib.contextmanager
def _raise_as_os_error(address: Address) -> Iterator[None]:
    """Raise OSError for an address that can't be used, as callers expect it.

    For a host or a port of a wrong form the socket module raises other errors.
    """
    try:
        yield
    except (ValueError, TypeError, OverflowError) as error:
        raise OSError(f"{address} can't be used: {error}") from None


class DatagramSocket:
    """A UDP socket; any task may call its methods."""

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self.address = Address(*sock.getsockname()[:2])

    def send_to(self, data: bytes, address: Address) -> None:
        """Send one datagram, or raise OSError; it may be lost on the way."""
        with _raise_as_os_error(address):
            self._sock.sendto(data, address)

    def receive(self, limit: int) -> bytes:
        """Return the next datagram; raise TimeoutError after DATAGRAM_WAIT_MS."""
        return self._sock.recvfrom(limit)[0]

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()


def write_failure(text: str) -> None:
    """Write the traceback of a task that failed to standard error."""
    sys.stderr.write(text)


class Runtime:
    """Access to clock, randomness, tasks and sockets; tests may pass another one."""

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
        # The threads in which tasks run now.
        self._task_threads: set[int] = set()
        self._connections: set[Connection] = set()
        self._listeners: set[Listener] = set()
        self._stopping = threading.Event()
        self.report_failure: Callable[[str], None] = write_failure
        # How often tasks that have to go on were called again after an error.
        self.restarts = 0

    def make_random(self, seed: int) -> Random:
        """Return a new random number generator, deterministic for a given seed."""
        return Random(seed)

    # Tasks

    def start(
        self, function: Callable[..., Any], *args: Any
    ) -> concurrent.futures.Future:
        """Start `function(*args)` as a new task and return its future.

        Raise TaskLimitError when the task limit is reached. The executor alone would
        queue the call silently, and a caller might wait for a task that never starts.
        """
        with self._lock:
            if self._running >= self.task_limit:
                raise TaskLimitError(f"all {self.task_limit} tasks are taken")
            self._running += 1
        try:
            future = self._executor.submit(self._run, function, args)
        except RuntimeError:
            self._count_ended()
            raise
        future.add_done_callback(self._note_cancelled)
        return future

    def keep_running(
        self, function: Callable[..., Any], *args: Any
    ) -> concurrent.futures.Future:
        """Start a task that the process can't do without, and return its future.

        After an error, which is reported, the function is called again. If it ended
        silently, the process would go on as if the task were still at work.
        """
        return self.start(self._run_again_after_errors, function, args)

    def _run_again_after_errors(
        self, function: Callable[..., Any], args: tuple[Any, ...]
    ) -> Any:
        while True:
            try:
                return function(*args)
            except Exception:
                # Closing the process's sockets ends the tasks that wait for them.
                if self.stopping:
                    return None
                self.report_failure(traceback.format_exc())
                with self._lock:
                    self.restarts += 1
            if not self.sleep_ms(RESTART_PAUSE_MS):
                return None

    def _count_ended(self) -> None:
        with self._lock:
            self._running -= 1

    def _note_cancelled(self, future: concurrent.futures.Future) -> None:
        """Count a task as ended that `close` has cancelled before a thread took it."""
        if future.cancelled():
            self._count_ended()

    def _run(self, function: Callable[..., Any], args: tuple) -> Any:
        thread_id = threading.get_ident()
        self._task_threads.add(thread_id)
        try:
            return function(*args)
        except Exception:
            # The executor keeps the exception in a future that may never be read; the
            # task would end silently.
            self.report_failure(traceback.format_exc())
            raise
        finally:
            self._task_threads.discard(thread_id)
            self._count_ended()

    def describe_tasks(self) -> str:
        """Return the stacks of the tasks that are running, one after the other."""
        frames = sys._current_frames()
        stacks = [
            "".join(traceback.format_stack(frames[thread_id]))
            for thread_id in list(self._task_threads)
            if thread_id in frames
        ]
        return f"{self.running_tasks()} running tasks:\n" + "\n".join(stacks)

    def running_tasks(self) -> int:
        """Return how many tasks are running."""
        with self._lock:
            return self._running

    def make_lock(self) -> threading.Lock:
        """Return a new lock."""
        return threading.Lock()

    def make_condition(self) -> threading.Condition:
        """Return a new condition with its own lock."""
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
        """Wait until `predicate` is true or the timeout passes; return its last value.

        The caller must hold the condition's lock.
        """
        return condition.wait_for(predicate, max(0.0, timeout_ms) / 1000)

    def sleep_ms(self, duration_ms: float) -> bool:
        """Wait for `duration_ms`; return False immediately when the process stops."""
        return not self._stopping.wait(max(0.0, duration_ms) / 1000)

    @property
    def stopping(self) -> bool:
        """Whether `close` was called, so that the process is about to end."""
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
        with _raise_as_os_error(address):
            sock = socket.create_connection(address, timeout_ms / 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _keep_alive(sock)
        if tls is not None:
            sock = tls.wrap_socket(sock, server_hostname=server_name or address.host)
        return self._track(sock)

    def listen(
        self, address: Address, tls: Callable[[], ssl.SSLContext] | None = None
    ) -> Listener:
        """Return an open listener on `address`; port 0 picks a free port."""
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

        The kernel accepts connections on an open listener even before the process calls
        `accept`. Callers would wait for a process that is still starting, although
        another daemon could serve them.
        """
        return self._bind(address, tls, shared=True)

    def reserve_port(self, address: Address) -> Listener:
        """Return a listener that holds an unused port; it must never be opened.

        Other processes may still listen on the port, but can't reserve it.
        """
        listener = self._bind(address, None, shared=False)
        listener.allow_shared_binding()
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
        listener = Listener(sock, self._track, tls)
        with self._lock:
            self._listeners.add(listener)
        return listener

    def open_datagram_socket(self, address: Address) -> DatagramSocket:
        """Return a UDP socket bound to `address`; port 0 picks a free port."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(address)
        sock.settimeout(DATAGRAM_WAIT_MS / 1000)
        return DatagramSocket(sock)

    def open_http_pool(
        self, address: Address, pool_size: int, tls: ssl.SSLContext | None = None
    ) -> urllib3.HTTPConnectionPool:
        """Return a pool of HTTP connections that never retries on its own.

        Closing the runtime doesn't close those with TLS: each stays open until the
        timeout of its request.
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
        pool.ConnectionCls = functools.partial(TrackedHttpConnection, self._track)
        return pool

    def _track(self, sock: socket.socket) -> Connection:
        connection = Connection(sock, self._untrack)
        with self._lock:
            self._connections.add(connection)
        return connection

    def _untrack(self, connection: Connection) -> None:
        with self._lock:
            self._connections.discard(connection)

    # Shutdown

    def close(self, deadline_ms: float) -> bool:
        """Close every socket, then wait for the tasks; return whether all ended.

        Sockets are closed first: a task that waits for bytes would otherwise block the
        exit of the process, because interpreter exit joins all threads.
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
