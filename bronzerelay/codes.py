"""The numbered result codes, and refusals, which carry a code."""

# `expression` takes 11 MB of memory and 45 ms of start-up time. It is imported only
# where results are used, which is why annotations are postponed.
from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from expression import Result

NOT_RUN = "not_run"
RAN = "ran"
UNKNOWN = "unknown"


class Code(IntEnum):
    """Every result code; `docs/CODES.md` has the same table."""

    OK = 0
    # Faults of the request itself.
    MALFORMED_JSON = 101
    BODY_TOO_LARGE = 102
    UNKNOWN_PATH = 103
    HEADERS_TOO_LARGE = 104
    MALFORMED_REQUEST = 105
    INVALID_STATEMENT = 106
    WRONG_METHOD = 107
    INVALID_SESSION = 108
    CALLER_TOO_SLOW = 109
    # Authentication and authorization.
    KEY_MISSING = 201
    KEY_REJECTED = 202
    WORKSPACE_UNKNOWN = 203
    GROUP_UNKNOWN = 204
    # Limits.
    RATE_EXCEEDED = 301
    QUEUE_FULL = 302
    DEADLINE_PASSED = 303
    CONNECTION_LIMIT = 304
    TRANSACTION_LIMIT = 305
    # The database group.
    NO_PRIMARY = 401
    OUTCOME_UNKNOWN = 402
    PRIMARY_REPLACED = 403
    TRANSACTION_LOST = 404
    TRANSACTION_UNKNOWN = 405
    TOO_STALE = 406
    STATEMENT_FAILED = 407
    IDEMPOTENCY_CONFLICT = 408
    ENDPOINT_UNREACHABLE = 409
    STATEMENT_TIMED_OUT = 410
    # The daemon itself.
    NO_CONFIGURATION = 501
    STOPPING = 502
    ISOLATED = 503
    PEER_UNREACHABLE = 504
    PEER_REJECTED = 505
    # Operators' commands.
    PLATFORM_UNAVAILABLE = 601
    COMPARE_FAILED = 602
    BUNDLE_INVALID = 603
    SIGNATURE_MISSING = 604
    NOT_FOUND = 605
    INTERNAL_ERROR = 901


class CodeEntry(NamedTuple):
    """A code's HTTP status, whether the request ran, and advice for the caller."""

    status: int
    ran: str
    advice: str


CODES: dict[Code, CodeEntry] = {
    Code.OK: CodeEntry(200, RAN, "The request ran; nothing needs to be done."),
    Code.MALFORMED_JSON: CodeEntry(
        400, NOT_RUN, "Send a body that is one JSON object as docs/PROTOCOL.md says."
    ),
    Code.BODY_TOO_LARGE: CodeEntry(
        413, NOT_RUN, "Send a body below the daemon's --max-body-bytes."
    ),
    Code.UNKNOWN_PATH: CodeEntry(
        404, NOT_RUN, "Use a path that docs/PROTOCOL.md lists."
    ),
    Code.HEADERS_TOO_LARGE: CodeEntry(
        431, NOT_RUN, "Send fewer headers, below the daemon's --max-header-bytes."
    ),
    Code.MALFORMED_REQUEST: CodeEntry(400, NOT_RUN, "Send well-formed HTTP/1.1."),
    Code.INVALID_STATEMENT: CodeEntry(
        422, NOT_RUN, "Correct the statement as the message says."
    ),
    Code.WRONG_METHOD: CodeEntry(405, NOT_RUN, "Use the method listed for the path."),
    Code.INVALID_SESSION: CodeEntry(
        422, NOT_RUN, "Send the session token exactly as an answer gave it."
    ),
    Code.CALLER_TOO_SLOW: CodeEntry(
        408, NOT_RUN, "Send the whole request within the daemon's --request-timeout-ms."
    ),
    Code.KEY_MISSING: CodeEntry(
        401, NOT_RUN, "Send the workspace's key as 'Authorization: Bearer KEY'."
    ),
    Code.KEY_REJECTED: CodeEntry(
        403, NOT_RUN, "Ask an operator for a key of this workspace."
    ),
    Code.WORKSPACE_UNKNOWN: CodeEntry(
        404, NOT_RUN, "Name a workspace of the configuration that is in force."
    ),
    Code.GROUP_UNKNOWN: CodeEntry(
        404, NOT_RUN, "Name a database group that the workspace may use."
    ),
    Code.RATE_EXCEEDED: CodeEntry(
        429, NOT_RUN, "The workspace is over its rate; come back after Retry-After."
    ),
    Code.QUEUE_FULL: CodeEntry(
        503, NOT_RUN, "The workspace has too much waiting; come back later."
    ),
    Code.DEADLINE_PASSED: CodeEntry(
        503, NOT_RUN, "No slot came free before the deadline; come back later."
    ),
    Code.CONNECTION_LIMIT: CodeEntry(
        503, NOT_RUN, "The daemon holds all the connections it can; come back later."
    ),
    Code.TRANSACTION_LIMIT: CodeEntry(
        503, NOT_RUN, "Too many transactions are open; come back later."
    ),
    Code.NO_PRIMARY: CodeEntry(
        503, NOT_RUN, "The group has no primary just now; come back later."
    ),
    Code.OUTCOME_UNKNOWN: CodeEntry(
        504,
        UNKNOWN,
        "The request may have run; send it again with the same idempotency key.",
    ),
    Code.PRIMARY_REPLACED: CodeEntry(
        503, NOT_RUN, "The primary was replaced before the request ran; send it again."
    ),
    Code.TRANSACTION_LOST: CodeEntry(
        409, NOT_RUN, "The transaction ended and nothing of it is kept; begin it again."
    ),
    Code.TRANSACTION_UNKNOWN: CodeEntry(
        404, NOT_RUN, "The transaction has ended or never was; begin a new one."
    ),
    Code.TOO_STALE: CodeEntry(
        503, NOT_RUN, "No endpoint could prove the stated age; ask for an older one."
    ),
    Code.STATEMENT_FAILED: CodeEntry(
        422, NOT_RUN, "The database refused the statement as the message says."
    ),
    Code.IDEMPOTENCY_CONFLICT: CodeEntry(
        409, NOT_RUN, "This idempotency key was given up on earlier; use a new one."
    ),
    Code.ENDPOINT_UNREACHABLE: CodeEntry(
        503, NOT_RUN, "No endpoint could be reached; come back later."
    ),
    Code.STATEMENT_TIMED_OUT: CodeEntry(
        504, UNKNOWN, "The endpoint gave no answer in time; the statement may have run."
    ),
    Code.NO_CONFIGURATION: CodeEntry(
        503, NOT_RUN, "The daemon has no configuration yet; come back later."
    ),
    Code.STOPPING: CodeEntry(
        503, NOT_RUN, "The daemon is stopping; connect again to reach another one."
    ),
    Code.ISOLATED: CodeEntry(
        503, NOT_RUN, "The daemon is cut off and can't check keys; try another one."
    ),
    Code.PEER_UNREACHABLE: CodeEntry(
        503, NOT_RUN, "The daemon that serves the group is away; come back later."
    ),
    Code.PEER_REJECTED: CodeEntry(
        403, NOT_RUN, "Give both daemons the same peer secret."
    ),
    Code.PLATFORM_UNAVAILABLE: CodeEntry(
        503, UNKNOWN, "The platform's key-value service gave no answer; try again."
    ),
    Code.COMPARE_FAILED: CodeEntry(
        409, NOT_RUN, "Somebody else was faster; read again and compare."
    ),
    Code.BUNDLE_INVALID: CodeEntry(
        422, NOT_RUN, "Correct every mistake that the check lists."
    ),
    Code.SIGNATURE_MISSING: CodeEntry(
        409, NOT_RUN, "Let a second operator sign the bundle first."
    ),
    Code.NOT_FOUND: CodeEntry(404, NOT_RUN, "Check the name; nothing is stored there."),
    Code.INTERNAL_ERROR: CodeEntry(
        500, UNKNOWN, "Report this with the request id and the daemon's log."
    ),
}


class Refusal(NamedTuple):
    """The reason why a request was refused; `ran` is NOT_RUN, RAN or UNKNOWN."""

    code: Code
    message: str
    ran: str
    retry_after_ms: int = 0


def refuse(code: Code, message: str, retry_after_ms: int = 0, ran: str = "") -> Result:
    """Return an Error result with a refusal; `ran` defaults to that of the code."""
    from expression import Error

    refusal = Refusal(code, message, ran or CODES[code].ran, retry_after_ms)
    return Error(refusal)
