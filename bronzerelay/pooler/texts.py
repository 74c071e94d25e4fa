"""Shortens texts that may hold what a caller has sent."""

OMISSION = "..."


def shorten(text: str, limit: int) -> str:
    """Return the text, or its beginning and its end if it is over `limit` characters.

    The result is longer than `limit` by the dots for what is left out.
    """
    if len(text) <= limit:
        return text
    end = limit // 2
    return text[: limit - end] + OMISSION + text[len(text) - end :]
