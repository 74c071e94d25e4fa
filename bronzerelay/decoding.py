"""Decodes what other processes have written."""

import re
from typing import Annotated, Any, Protocol

import msgspec
from msgspec import Meta

# The decoder reads whole numbers of hundreds of digits, which neither messages nor log
# lines nor floats can hold.
MAX_COUNT = 2**31 - 1
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
# A revision, term, epoch or time of day.
Whole = Annotated[int, Meta(ge=0, le=2**63 - 1)]
# A duration that a task may wait, in milliseconds.
Milliseconds = Annotated[float, Meta(ge=0, le=2**31 - 1)]
# A finite number: times that are computed from it can be rounded.
Finite = Annotated[float, Meta(ge=-1e18, le=1e18)]
# Text that several messages and log lines carry.
Label = Annotated[str, Meta(max_length=256)]
# A field of a line that isn't the last one: it has no blanks and no control characters.
WORD = r"\A[^\s\x00-\x1f\x7f-\x9f]{1,256}\Z"
Word = Annotated[str, Meta(pattern=WORD)]

_word_pattern = re.compile(WORD)


class Decoder(Protocol):
    """A decoder of msgspec for one type."""

    def decode(self, data: bytes, /) -> Any:
        """Return the decoded data, or raise an error."""


def decode(decoder: Decoder, data: bytes) -> Any:
    """Return the decoded data; raise ValueError for anything that can't be read.

    The decoder's type may hold no values of any type: to decode such a value that is
    nested deeply would end the process, as the stack of a task is small.
    """
    try:
        return decoder.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None
    except RecursionError:
        # Raised while unknown fields are skipped.
        raise ValueError("it is nested too deeply") from None


def check_word(text: str) -> str:
    """Return the text if it is one word, or raise ValueError."""
    if not _word_pattern.match(text):
        raise ValueError(f"{text[:256]!r} isn't one word")
    return text
