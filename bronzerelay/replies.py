"""Encoding of statement results in thrift replies between daemons."""

import msgspec
from expression import Ok, Result

from bronzerelay.codes import CODES, RAN, Code, Refusal, refuse
from bronzerelay.peerlink.ttypes import StatementReply
from bronzerelay.types import StatementAnswer

_answer_decoder = msgspec.json.Decoder(StatementAnswer)


def pack_reply(result: Result[StatementAnswer, Refusal]) -> StatementReply:
    """Return `result` as a thrift reply."""
    if result.is_ok():
        answer = msgspec.json.encode(result.ok)
        return StatementReply(
            code=Code.OK, ran=RAN, message="", retry_after_ms=0, answer=answer
        )
    refusal = result.error
    return StatementReply(
        code=refusal.code,
        ran=refusal.ran,
        message=refusal.message,
        retry_after_ms=refusal.retry_after_ms,
        answer=b"",
    )


def unpack_reply(reply: StatementReply) -> Result[StatementAnswer, Refusal]:
    """Return the result that a peer sent; an unknown code is an internal error."""
    if reply.code == Code.OK:
        return Ok(_answer_decoder.decode(reply.answer))
    code = Code(reply.code) if reply.code in CODES else Code.INTERNAL_ERROR
    return refuse(code, reply.message, reply.retry_after_ms, reply.ran)
