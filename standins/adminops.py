"""Faults on command and the record of what ran, for admin connections."""

import base64

from standins.faults import Fault
from standins.messages import Request, Session
from standins.operations import Operations

RECEIVED_LIMIT_BYTES = 64 * 1024 * 1024


class Administration:
    """What admin connections ask; a freeze doesn't hold it up."""

    def __init__(self, operations: Operations):
        self._operations = operations
        self._instance = operations.instance
        self._faults = operations.faults
        self._received = bytearray()
        self._received_all = True

    def keep_received(self, part: bytes) -> None:
        """Keep what another connection received, up to a limit."""
        if len(self._received) + len(part) > RECEIVED_LIMIT_BYTES:
            self._received_all = False
            return
        self._received += part

    def answer(self, session: Session, request: Request) -> dict:
        """Return the answer's fields."""
        op = request["op"]
        if op == "status":
            return self._operations.answer_status(session, request)
        with self._operations.condition:
            answer = self._change_faults(op, request)
            self._operations.condition.notify_all()
        return answer

    def _change_faults(self, op: str, request: Request) -> dict:
        faults = self._faults
        operations = self._operations
        match op:
            case "freeze":
                faults.frozen = True
            case "thaw":
                faults.frozen = False
            case "cut":
                faults.cut.update(request["names"])
            case "heal":
                faults.cut.difference_update(request["names"])
            case "set":
                operations.lag_ms = request.get("lag_ms", operations.lag_ms)
                operations.service_ms = request.get("service_ms", operations.service_ms)
            case "record":
                return self._show_record(request)
            case "received":
                data = base64.b64encode(self._received).decode()
                return {"bytes": data, "complete": self._received_all}
            case _:
                fault = Fault(
                    op, request.get("before", False), request.get("delay_ms", 0)
                )
                faults.add(request["ops"], request["count"], fault)
        return {}

    def _show_record(self, request: Request) -> dict:
        entries = self._instance.entries[request.get("after", 0) :]
        executions = self._instance.executions[request.get("after_execution", 0) :]
        return {
            "entries": entries,
            "executions": [execution._asdict() for execution in executions],
        }
