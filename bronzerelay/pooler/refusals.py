"""The refusals that callers get for faults, and whether their statement has run."""

from bronzerelay.codes import NOT_RUN, RAN, UNKNOWN, Code, Refusal
from bronzerelay.pooler.messages import NOT_RUN_FAULTS, Answer, Fault

# The retry time that a caller is told when no primary is available, in milliseconds.
NO_PRIMARY_RETRY_MS = 250
# The retry time that a caller is told when instances are busy or unreachable, in
# milliseconds.
BUSY_RETRY_MS = 100

# The code of the refusal for each fault.
FAULT_CODES = {
    Fault.BUSY: Code.QUEUE_FULL,
    Fault.UNPREPARED: Code.ENDPOINT_UNREACHABLE,
    Fault.LAGGING: Code.TOO_STALE,
    Fault.READ_ONLY: Code.PRIMARY_REPLACED,
    Fault.WRONG_INSTANCE: Code.ENDPOINT_UNREACHABLE,
    Fault.TOO_MANY_LINKS: Code.CONNECTION_LIMIT,
    Fault.ABORTED: Code.TRANSACTION_LOST,
    Fault.UNREACHABLE: Code.ENDPOINT_UNREACHABLE,
    Fault.FAILED: Code.STATEMENT_FAILED,
    Fault.TIMED_OUT: Code.STATEMENT_TIMED_OUT,
    Fault.LOST: Code.OUTCOME_UNKNOWN,
    Fault.REJECTED: Code.STATEMENT_FAILED,
    Fault.UNSENDABLE: Code.ENDPOINT_UNREACHABLE,
}


def refuse_fault(answer: Answer, writes: bool) -> Refusal:
    """Return the refusal for a fault; it says "not run" only if that is certain."""
    fault = answer.fault or Fault.REJECTED
    code = FAULT_CODES[fault]
    if fault is Fault.UNSENDABLE:
        # Without a time to retry, since another attempt can't be sent either.
        return Refusal(code, answer.detail, NOT_RUN)
    if fault in NOT_RUN_FAULTS:
        return Refusal(code, answer.detail or code.name, NOT_RUN, BUSY_RETRY_MS)
    if fault is Fault.ABORTED:
        return Refusal(code, answer.detail or code.name, NOT_RUN)
    if fault is Fault.FAILED:
        return Refusal(code, answer.detail or code.name, RAN)
    if fault is Fault.LOST and not writes:
        return Refusal(Code.STATEMENT_FAILED, answer.detail or code.name, RAN)
    return Refusal(code, answer.detail or code.name, UNKNOWN)


def refuse_lost_transaction(detail: str) -> Refusal:
    """Return the refusal for a transaction that ended without a commit."""
    message = f"The transaction has ended and nothing of it is kept: {detail}."
    return Refusal(Code.TRANSACTION_LOST, message, NOT_RUN, BUSY_RETRY_MS)


def refuse_stopping() -> Refusal:
    """Return the refusal for a statement that comes as the daemon's process ends.

    It names no time to come back: other daemons can serve the caller at once.
    """
    return Refusal(Code.STOPPING, "The daemon is stopping.", NOT_RUN)


def refuse_no_primary() -> Refusal:
    """Return the refusal for a caller while no instance can serve it."""
    message = "The service has no instance that can be used just now."
    return Refusal(Code.NO_PRIMARY, message, NOT_RUN, NO_PRIMARY_RETRY_MS)
