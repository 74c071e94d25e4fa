"""Routes a caller's request by its path to a handler and formats the answer."""

import math
import re
from collections.abc import Callable
from logging import Logger
from typing import Any, NamedTuple
from urllib.parse import unquote

import msgspec
from expression import Result

from bronzerelay.codes import CODES, Code, Refusal, refuse
from bronzerelay.logs import hide_key
from bronzerelay.metrics import Metrics
from bronzerelay.runtime import Runtime
from bronzerelay.statements import decode_request
from bronzerelay.types import StatementAnswer, StatementRequest
from bronzerelay.wire import Answer, CallerRequest

STATEMENTS_PATH = re.compile(r"/v1/workspaces/([^/]+)/statements")
BEARER = re.compile(r"(?i:bearer) +([A-Za-z0-9._~+/=-]+)")
REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")
PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8"

# The workspace label of refusals that came before the key was checked. A workspace name
# of an unauthenticated caller must not become a metric label.
NO_WORKSPACE = "-"
UNAUTHENTICATED_CODES = frozenset(
    {
        Code.KEY_MISSING,
        Code.KEY_REJECTED,
        Code.WORKSPACE_UNKNOWN,
        Code.NO_CONFIGURATION,
        Code.ISOLATED,
        Code.STOPPING,
        Code.INTERNAL_ERROR,
    }
)


class Handlers(NamedTuple):
    """Functions that the front calls, possibly from several tasks at the same time."""

    run_statement: Callable[
        [str, str, StatementRequest, str], Result[StatementAnswer, Refusal]
    ]
    check_ready: Callable[[], Result[None, Refusal]]
    show_status: Callable[[], dict[str, Any]]
    render_metrics: Callable[[], bytes]


class RequestRouter:
    """Answers requests; several tasks may call `answer` at the same time."""

    def __init__(
        self, runtime: Runtime, handlers: Handlers, metrics: Metrics, log: Logger
    ):
        self._runtime = runtime
        self._handlers = handlers
        self._metrics = metrics
        self._log = log
        self._pages = {
            "/health": self._show_health,
            "/ready": self._show_ready,
            "/metrics": self._show_metrics,
            "/status": self._show_status,
        }

    def make_request_id(self) -> str:
        """Return a new request id."""
        return f"{self._runtime.random.getrandbits(64):016x}"

    def choose_request_id(self, request: CallerRequest) -> str:
        """Return the caller's request id if it is safe in logs, or else a new one."""
        request_id = request.headers.get("x-request-id", "")
        key = read_bearer_key(request)
        if not REQUEST_ID.fullmatch(request_id) or (key and key in request_id):
            return self.make_request_id()
        return request_id

    def answer(self, request: CallerRequest, request_id: str) -> Answer:
        """Return the answer to a request, also when its handler raises an exception."""
        with hide_key(read_bearer_key(request)):
            try:
                return self._route(request, request_id)
            except Exception:
                self._log.exception(
                    "A request failed with an unexpected error.",
                    extra={"request_id": request_id},
                )
        message = "The daemon failed while it handled the request."
        refusal = refuse(Code.INTERNAL_ERROR, message).error
        return self._refuse(refusal, NO_WORKSPACE, request_id)

    def _route(self, request: CallerRequest, request_id: str) -> Answer:
        match = STATEMENTS_PATH.fullmatch(request.path)
        if match:
            if request.method != "POST":
                return self._refuse_method("POST", request, request_id)
            return self._run_statement(unquote(match[1]), request, request_id)
        show = self._pages.get(request.path)
        if show is None:
            message = f"There is no path {request.path!r}."
            refusal = refuse(Code.UNKNOWN_PATH, message).error
            return self._refuse(refusal, NO_WORKSPACE, request_id)
        if request.method not in ("GET", "HEAD"):
            return self._refuse_method("GET", request, request_id)
        return show(request_id)

    def _show_health(self, request_id: str) -> Answer:
        return Answer(200, msgspec.json.encode({"alive": True}))

    def _show_ready(self, request_id: str) -> Answer:
        ready = self._handlers.check_ready()
        if ready.is_error():
            return self._refuse(ready.error, NO_WORKSPACE, request_id)
        return Answer(200, msgspec.json.encode({"ready": True}))

    def _show_metrics(self, request_id: str) -> Answer:
        return Answer(200, self._handlers.render_metrics(), PROMETHEUS_TEXT)

    def _show_status(self, request_id: str) -> Answer:
        return Answer(200, msgspec.json.encode(self._handlers.show_status()))

    def _run_statement(
        self, workspace: str, request: CallerRequest, request_id: str
    ) -> Answer:
        key = read_bearer_key(request)
        if not key:
            message = "The request has no key."
            refusal = refuse(Code.KEY_MISSING, message).error
            return self._refuse(refusal, NO_WORKSPACE, request_id)
        decoded = decode_request(request.body)
        if decoded.is_error():
            return self._refuse(decoded.error, NO_WORKSPACE, request_id)
        clock = self._runtime.clock
        started_ms = clock.now_ms()
        result = self._handlers.run_statement(workspace, key, decoded.ok, request_id)
        if result.is_error():
            return self._refuse(result.error, workspace, request_id)
        group = decoded.ok["group"]
        self._metrics.record_latency(workspace, group, clock.now_ms() - started_ms)
        return format_result(result.ok, request_id)

    def _refuse(self, refusal: Refusal, workspace: str, request_id: str) -> Answer:
        label = NO_WORKSPACE if refusal.code in UNAUTHENTICATED_CODES else workspace
        self._metrics.count_refusal(refusal.code, label)
        return format_refusal(refusal, request_id)

    def _refuse_method(
        self, allowed: str, request: CallerRequest, request_id: str
    ) -> Answer:
        message = f"The path takes {allowed}, not {request.method}."
        refusal = refuse(Code.WRONG_METHOD, message).error
        answer = self._refuse(refusal, NO_WORKSPACE, request_id)
        return answer._replace(headers=(("Allow", allowed),))


def read_bearer_key(request: CallerRequest) -> str:
    """Return the bearer key of a request, or an empty string."""
    match = BEARER.fullmatch(request.headers.get("authorization", ""))
    return match[1] if match else ""


def format_result(result: StatementAnswer, request_id: str) -> Answer:
    """Return the answer to a request that was run."""
    body = {**result, "code": Code.OK, "ran": "ran", "request_id": request_id}
    return Answer(200, msgspec.json.encode(body))


def format_refusal(refusal: Refusal, request_id: str) -> Answer:
    """Return the answer to a refused request."""
    entry = CODES[refusal.code]
    body = {
        "code": refusal.code,
        "name": refusal.code.name,
        "ran": refusal.ran,
        "message": refusal.message,
        "advice": entry.advice,
        "request_id": request_id,
        "retry_after_ms": math.ceil(refusal.retry_after_ms),
    }
    headers = (("WWW-Authenticate", "Bearer"),) if entry.status == 401 else ()
    return Answer(
        entry.status,
        msgspec.json.encode(body),
        retry_after_ms=refusal.retry_after_ms,
        headers=headers,
    )
