"""A caller: runs statements through daemons and passes on the session token."""

from typing import Any, NamedTuple

import msgspec

from bronzerelay.codes import NOT_RUN, RAN, UNKNOWN
from bronzerelay.runtime import Runtime
from bronzerelay.types import Statement, StatementRequest
from standins.exchange import HttpAnswer, LinkPool, build_request
from standins.record import NO_ANSWER, UNREACHABLE, Entry

DEFAULT_TIMEOUT_MS = 10_000
REQUEST_ID_BITS = 64
RAN_VALUES = (RAN, NOT_RUN, UNKNOWN)
EXCERPT_BYTES = 200


class CallerSettings(NamedTuple):
    """The name of a caller's session, its workspace and the workspace's key."""

    name: str
    workspace: str
    key: str
    timeout_ms: float = DEFAULT_TIMEOUT_MS


class Outcome(NamedTuple):
    """The outcome of a request: its answer, or the reason why there is none."""

    answer: HttpAnswer | None
    error: str = ""
    code: int = NO_ANSWER


class Caller:
    """One session of a workspace; it runs one request at a time.

    The session token of each answer is sent with the next request, whichever daemon
    that goes to. Callers of one process share the connections of a LinkPool. Each
    request is added to `record`.
    """

    def __init__(
        self,
        runtime: Runtime,
        settings: CallerSettings,
        links: LinkPool,
        record: list[Entry] | None = None,
    ):
        self.settings = settings
        self.record = [] if record is None else record
        self.session = ""
        self.runtime = runtime
        self._links = links

    def run(
        self, group: str, statement: Statement, daemon: str = "", **fields: Any
    ) -> Entry:
        """Run a statement and return its entry; `fields` go into the request."""
        request = StatementRequest(group=group, statement=statement, **fields)
        return self.send(request, daemon)

    def send(
        self, request: StatementRequest, daemon: str = "", due_ms: float | None = None
    ) -> Entry:
        """Send a request with the session's token and return its entry.

        Without a daemon's name, one is picked at random. `due_ms` is when the request
        should have been sent, if that was earlier.
        """
        daemon = daemon or self.runtime.random.choice(list(self._links.addresses))
        if self.session and "session" not in request:
            request = StatementRequest(**request, session=self.session)
        request_id = make_request_id(self.runtime)
        path = f"/v1/workspaces/{self.settings.workspace}/statements"
        headers = {
            "Authorization": f"Bearer {self.settings.key}",
            "Content-Type": "application/json",
            "X-Request-Id": request_id,
        }
        body = msgspec.json.encode(request)
        sent_ms = self.runtime.clock.now_ms()
        data = build_request("POST", path, headers, body)
        outcome = exchange(self._links, daemon, data, self.settings.timeout_ms)
        answered_ms = self.runtime.clock.now_ms()
        times = (sent_ms if due_ms is None else due_ms, sent_ms, answered_ms)
        entry = build_entry(self.settings, daemon, request, request_id, times, outcome)
        self.session = entry.session_after
        self.record.append(entry)
        return entry


def make_request_id(runtime: Runtime) -> str:
    """Return a new request id."""
    return f"{runtime.random.getrandbits(REQUEST_ID_BITS):016x}"


def exchange(links: LinkPool, daemon: str, data: bytes, timeout_ms: float) -> Outcome:
    """Send a request's bytes to a daemon; return its answer, or why there is none."""
    try:
        link = links.take(daemon, timeout_ms)
    except OSError as error:
        return Outcome(None, str(error), UNREACHABLE)
    try:
        answer = link.exchange(data, timeout_ms)
    except OSError as error:
        link.close()
        return Outcome(None, str(error), NO_ANSWER)
    if answer.keep_alive:
        links.give_back(daemon, link)
    else:
        link.close()
    return Outcome(answer)


def build_entry(
    settings: CallerSettings,
    daemon: str,
    request: StatementRequest,
    request_id: str,
    times: tuple[float, float, float],
    outcome: Outcome,
) -> Entry:
    """Return the record's entry for a request and its outcome."""
    answer = outcome.answer
    fields = decode_body(outcome)
    body = fields if is_valid_body(fields) else describe_failure(outcome)
    session = request.get("session", "")
    return Entry(
        *times,
        workspace=settings.workspace,
        caller=settings.name,
        daemon=daemon,
        request_id=request_id,
        idempotency_key=request.get("idempotency_key", ""),
        group=request["group"],
        action=request.get("action", "statement"),
        statement=request.get("statement"),
        repeatable=request.get("repeatable", True),
        max_age_ms=request.get("max_age_ms"),
        session_before=session,
        session_after=body.get("session") or session,
        status=answer.status if answer else 0,
        code=body["code"],
        ran=body["ran"],
        message=body.get("message", ""),
        value=body.get("value"),
        served_by=body.get("served_by", ""),
        role=body.get("role", ""),
        duplicate=body.get("duplicate", False),
        transaction=request.get("transaction") or body.get("transaction", ""),
        retry_after_ms=body.get("retry_after_ms", 0),
        retry_after_s=answer.headers.get("retry-after", "") if answer else "",
        answered_id=body.get("request_id", ""),
        fields=tuple(sorted(fields)),
    )


def decode_body(outcome: Outcome) -> dict[str, Any]:
    """Return the decoded body of an answer, empty if it isn't a JSON object."""
    if outcome.answer is None:
        return {}
    try:
        body = msgspec.json.decode(outcome.answer.body)
    except msgspec.DecodeError:
        return {}
    return body if isinstance(body, dict) else {}


def is_valid_body(body: dict[str, Any]) -> bool:
    """Return whether a body has the fields that every answer must have."""
    return isinstance(body.get("code"), int) and body.get("ran") in RAN_VALUES


def describe_failure(outcome: Outcome) -> dict[str, Any]:
    """Return `code`, `ran` and `message` for a request without a valid answer."""
    if outcome.answer is None:
        ran = NOT_RUN if outcome.code == UNREACHABLE else UNKNOWN
        return {"code": outcome.code, "ran": ran, "message": outcome.error}
    text = outcome.answer.body[:EXCERPT_BYTES].decode(errors="replace")
    return {"code": NO_ANSWER, "ran": UNKNOWN, "message": f"invalid answer: {text}"}


if __name__ == "__main__":
    from standins.load import main

    main()
