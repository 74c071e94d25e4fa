"""A TCP relay that cuts, holds back or repeats the data that passes through it."""

import contextlib
from typing import NamedTuple

from bronzerelay.runtime import Address, Connection, Runtime, TaskLimitError

LOOPBACK = Address("127.0.0.1", 0)
DIAL_TIMEOUT_MS = 1000
# Faults of requests, which are the data from the side that opened the connection.
CUT_REQUEST = "cut_request"
CUT_HALF_REQUEST = "cut_half_request"
HOLD_REQUEST = "hold_request"
# Faults of replies.
CUT_REPLY = "cut_reply"
CUT_HALF_REPLY = "cut_half_reply"
REPEAT_REPLY = "repeat_reply"
REQUEST_FAULTS = (CUT_REQUEST, CUT_HALF_REQUEST, HOLD_REQUEST)


class Armed(NamedTuple):
    """A fault that is to be applied to the next data that contains its marker."""

    fault: str
    marker: bytes


class FaultRelay:
    """Relays connections to `target`; each armed fault is applied once.

    A fault applies to the next data that passes in its direction on any connection and
    contains its marker, if it has one. With small messages that is one whole request or
    reply. `struck` counts the faults that were applied.
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
        """The address on which the relay listens."""
        return self._listener.address

    def start(self) -> None:
        """Begin to relay connections."""
        self._runtime.start(self._accept)

    def arm(self, fault: str, marker: bytes = b"") -> None:
        """Apply `fault` once, to the next data that contains `marker`."""
        with self._condition:
            self._armed.append(Armed(fault, marker))
            self._released = False

    def release(self) -> None:
        """Deliver the requests that are held, although their senders were cut off."""
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
                client = self._listener.accept()
                try:
                    self._runtime.start(self._relay, client)
                except (TaskLimitError, RuntimeError):
                    client.close()

    def _relay(self, client: Connection) -> None:
        try:
            server = self._runtime.dial(self._target, DIAL_TIMEOUT_MS)
        except OSError:
            client.close()
            return
        server.set_timeout(None)
        with self._condition:
            self._connections |= {client, server}
            refusing = self._refusing
        if refusing:
            client.close()
            server.close()
        replies = self._runtime.start(self._relay_replies, server, client)
        self._relay_requests(client, server)
        replies.result()
        with self._condition:
            self._connections -= {client, server}

    def _relay_requests(self, client: Connection, server: Connection) -> None:
        with contextlib.suppress(OSError):
            while data := client.receive():
                fault = self._take_fault(data, is_request=True)
                if fault == HOLD_REQUEST:
                    self._hold(client, server, data)
                    return
                if fault == CUT_HALF_REQUEST:
                    server.send(data[: len(data) // 2])
                if fault:
                    break
                server.send(data)
        client.close()
        server.close()

    def _hold(self, client: Connection, server: Connection, data: bytes) -> None:
        """Close the sender's connection at once, and deliver its request on release.

        In the same way a process that was frozen and thawed reads requests whose
        senders have given up.
        """
        client.close()
        with self._condition:
            self._condition.wait_for(lambda: self._released)
        with contextlib.suppress(OSError):
            server.send(data)

    def _relay_replies(self, server: Connection, client: Connection) -> None:
        with contextlib.suppress(OSError):
            while data := server.receive():
                fault = self._take_fault(data, is_request=False)
                if fault == CUT_HALF_REPLY:
                    client.send(data[: len(data) // 2])
                if fault in (CUT_REPLY, CUT_HALF_REPLY):
                    break
                client.send(data)
                if fault == REPEAT_REPLY:
                    client.send(data)
        client.close()
        server.close()

    def _take_fault(self, data: bytes, is_request: bool) -> str:
        with self._condition:
            for armed in self._armed:
                matches_direction = (armed.fault in REQUEST_FAULTS) == is_request
                if matches_direction and armed.marker in data:
                    self._armed.remove(armed)
                    self.struck += 1
                    return armed.fault
        return ""
