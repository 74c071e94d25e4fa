"""A client for the admin ops of an endpoint stand-in."""

from typing import Any

import msgspec

from bronzerelay.runtime import Address, Connection, Runtime

TIMEOUT_MS = 5000


class AdminClient:
    """An admin connection to one endpoint, for one task at a time."""

    def __init__(self, connection: Connection):
        self._connection = connection
        connection.set_timeout(TIMEOUT_MS)

    def ask(self, op: str, **fields: Any) -> dict:
        """Return the answer; raise ValueError on a refusal, OSError when none comes."""
        request = {"id": 1, "op": op, **fields}
        self._connection.send(msgspec.json.encode(request) + b"\n")
        chunks = []
        while not chunks or not chunks[-1].endswith(b"\n"):
            chunk = self._connection.receive()
            if not chunk:
                raise OSError("the endpoint closed the admin connection")
            chunks.append(chunk)
        answer = msgspec.json.decode(b"".join(chunks))
        if not answer["ok"]:
            raise ValueError(f"{op}: {answer['error']}: {answer['message']}")
        return answer

    def close(self) -> None:
        """Close the connection; the faults that were set remain."""
        self._connection.close()


def open_admin(runtime: Runtime, address: Address) -> AdminClient:
    """Return an admin connection to the endpoint at `address`."""
    client = AdminClient(runtime.dial(address, TIMEOUT_MS))
    client.ask("hello", caller="admin", kind="admin")
    return client
