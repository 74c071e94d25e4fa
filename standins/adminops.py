"""The handlers of an endpoint stand-in for the ops of admin connections."""

import base64

from standins.faults import Fault
from standins.messages import Request, Session
from standins.operations import Operations

RECEIVED_LIMIT_BYTES = 64 * 1024 * 1024


class AdminOperations:
    """Injects faults and reports what ran; a freeze doesn't delay it."""

    def __init__(self, operations: Operations):
        self._operations = operations
        self._instance = operations.instance
        self._faults = operations.faults
        self._received = bytearray()
        self._received_all = True

    def record_received(self, data: bytes) -> None:
        """Keep data that a connection of another kind received, up to a limit."""
        if len(self._received) + len(data) > RECEIVED_LIMIT_BYTES:
            self._received_all = False
            return
        self._received += data

    def answer(self, session: Session, request: Request) -> dict:
        """Run an op and return the fields of its answer."""
        op = request["op"]
        if op == "status":
            return self._operations.answer_status(session, request)
        with self._operations.condition:
            answer = self._run_op(op, request)
            self._operations.condition.notify_all()
        return answer

    def _run_op(self, op: str, request: Request) -> dict:
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
                return self._make_record(request)
            case "received":
                encoded = base64.b64encode(self._received).decode()
                return {"bytes": encoded, "complete": self._received_all}
            case _:
                fault = Fault(
                    op, request.get("before", False), request.get("delay_ms", 0)
                )
                faults.add(request["ops"], request["count"], fault)
        return {}

    def _make_record(self, request: Request) -> dict:
        entries = self._instance.entries[request.get("after", 0) :]
        executions = self._instance.executions[request.get("after_execution", 0) :]
        return {
            "entries": entries,
            "executions": [execution._asdict() for execution in executions],
        }
