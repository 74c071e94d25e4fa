"""A client for the faults and records of an endpoint stand-in."""

from typing import Any

import msgspec

from bronzerelay.runtime import Address, Connection, Runtime

TIMEOUT_MS = 5000


class AdminClient:
    """An admin connection to one endpoint; one task at a time may use it."""

    def __init__(self, connection: Connection):
        self._connection = connection
        connection.set_timeout(TIMEOUT_MS)

    def ask(self, op: str, **fields: Any) -> dict:
        """Return the answer; raise OSError or ValueError when it isn't ok."""
        question = {"id": 1, "op": op, **fields}
        self._connection.send(msgspec.json.encode(question) + b"\n")
        parts = []
        while not parts or not parts[-1].endswith(b"\n"):
            part = self._connection.receive()
            if not part:
                raise OSError("the endpoint closed the admin connection")
            parts.append(part)
        answer = msgspec.json.decode(b"".join(parts))
        if not answer["ok"]:
            raise ValueError(f"{op}: {answer['error']}: {answer['message']}")
        return answer

    def close(self) -> None:
        """Close the connection; faults stay in force."""
        self._connection.close()


def open_admin(runtime: Runtime, address: Address) -> AdminClient:
    """Return an admin connection to the endpoint at `address`."""
    client = AdminClient(runtime.dial(address, TIMEOUT_MS))
    client.ask("hello", caller="admin", kind="admin")
    return client
