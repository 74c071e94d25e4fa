"""The session token: the log position that a caller has seen of each group."""

import base64
import binascii

import msgspec
from expression import Ok, Result

from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.types import Position

# A session has a few groups, so a longer token can't have been issued by a daemon.
MAX_TOKEN_LENGTH = 4096

_decoder = msgspec.msgpack.Decoder(dict[str, Position])

Session = dict[str, Position]


def encode_session(session: Session) -> str:
    """Return the token for `session`, which any daemon can decode."""
    packed = msgspec.msgpack.encode(session)
    return base64.urlsafe_b64encode(packed).decode().rstrip("=")


def decode_session(token: str) -> Result[Session, Refusal]:
    """Return the session in `token`; an empty token stands for an empty session."""
    if not token:
        return Ok({})
    if len(token) > MAX_TOKEN_LENGTH:
        return refuse(Code.INVALID_SESSION, "The session token is too long.")
    try:
        packed = base64.b64decode(
            token + "=" * (-len(token) % 4), altchars=b"-_", validate=True
        )
        return Ok(_decoder.decode(packed))
    except (binascii.Error, msgspec.DecodeError, ValueError) as error:
        message = f"The session token can't be read: {error}."
        return refuse(Code.INVALID_SESSION, message)


def advance_session(session: Session, group: str, seen: Position) -> Session:
    """Return `session` with `group` at `seen`, if that is later than its position."""
    known = session.get(group, Position(0, 0))
    return {**session, group: max(known, seen)}
