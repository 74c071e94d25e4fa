"""A relay for TCP connections that cuts, holds and repeats what passes."""

import contextlib
from typing import NamedTuple

from bronzerelay.runtime import Address, Connection, Runtime, TaskLimitError

LOOPBACK = Address("127.0.0.1", 0)
DIAL_TIMEOUT_MS = 1000
# What happens to the next request (bytes from the side that dialled).
CUT_REQUEST = "cut_request"
CUT_HALF_REQUEST = "cut_half_request"
HOLD_REQUEST = "hold_request"
# What happens to the next reply.
CUT_REPLY = "cut_reply"
CUT_HALF_REPLY = "cut_half_reply"
REPEAT_REPLY = "repeat_reply"
REQUEST_FAULTS = (CUT_REQUEST, CUT_HALF_REQUEST, HOLD_REQUEST)


class Armed(NamedTuple):
    """A fault that waits for bytes that hold its marker."""

    fault: str
    marker: bytes


class FaultRelay:
    """Passes connections on to `target`; each armed fault strikes once.

    A fault strikes the next bytes that pass in its direction, on any connection, or
    the next ones that hold its marker. With small messages these are one whole request
    or reply.
    """

    def __init__(self, runtime: Runtime, target: Address):
        self._runtime = runtime
        self._target = target
        self._listener = runtime.listen(LOOPBACK)
        self._condition = runtime.make_condition()
        self._armed: list[Armed] = []
        self._released = False
        self._connections: set[Connection] = set()
        self._refusing = False
        self.struck = 0

    @property
    def address(self) -> Address:
        """Where the relay listens."""
        return self._listener.address

    def start(self) -> None:
        """Begin to pass connections on."""
        self._runtime.start(self._accept)

    def arm(self, fault: str, marker: bytes = b"") -> None:
        """Let `fault` strike once, at bytes that hold `marker`."""
        with self._condition:
            self._armed.append(Armed(fault, marker))
            self._released = False

    def release(self) -> None:
        """Deliver the requests that are held, though their senders are cut off."""
        with self._condition:
            self._released = True
            self._condition.notify_all()

    def refuse(self) -> None:
        """Close every connection, and each new one at once."""
        with self._condition:
            self._refusing = True
            connections = list(self._connections)
        for connection in connections:
            connection.close()

    def stop(self) -> None:
        """End the relay."""
        self._listener.close()
        self.refuse()
        self.release()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near = self._listener.accept()
                try:
                    self._runtime.start(self._relay, near)
                except (TaskLimitError, RuntimeError):
                    near.close()

    def _relay(self, near: Connection) -> None:
        try:
            far = self._runtime.dial(self._target, DIAL_TIMEOUT_MS)
        except OSError:
            near.close()
            return
        far.set_timeout(None)
        with self._condition:
            self._connections |= {near, far}
            refusing = self._refusing
        if refusing:
            near.close()
            far.close()
        replies = self._runtime.start(self._pass_replies, far, near)
        self._pass_requests(near, far)
        replies.result()
        with self._condition:
            self._connections -= {near, far}

    def _pass_requests(self, near: Connection, far: Connection) -> None:
        with contextlib.suppress(OSError):
            while data := near.receive():
                fault = self._take(data, is_request=True)
                if fault == HOLD_REQUEST:
                    self._hold(near, far, data)
                    return
                if fault == CUT_HALF_REQUEST:
                    far.send(data[: len(data) // 2])
                if fault:
                    break
                far.send(data)
        near.close()
        far.close()

    def _hold(self, near: Connection, far: Connection, data: bytes) -> None:
        """Cut the sender off at once, and deliver its request when released.

        So a process that was frozen reads, when it goes on, what its peer had sent
        before it gave up.
        """
        near.close()
        with self._condition:
            self._condition.wait_for(lambda: self._released)
        with contextlib.suppress(OSError):
            far.send(data)

    def _pass_replies(self, far: Connection, near: Connection) -> None:
        with contextlib.suppress(OSError):
            while data := far.receive():
                fault = self._take(data, is_request=False)
                if fault == CUT_HALF_REPLY:
                    near.send(data[: len(data) // 2])
                if fault in (CUT_REPLY, CUT_HALF_REPLY):
                    break
                near.send(data)
                if fault == REPEAT_REPLY:
                    near.send(data)
        near.close()
        far.close()

    def _take(self, data: bytes, is_request: bool) -> str:
        with self._condition:
            for armed in self._armed:
                suits = (armed.fault in REQUEST_FAULTS) == is_request
                if suits and armed.marker in data:
                    self._armed.remove(armed)
                    self.struck += 1
                    return armed.fault
        return ""
