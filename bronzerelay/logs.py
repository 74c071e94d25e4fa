"""The log: one JSON line per event, with callers' keys redacted."""

import logging
import re
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

ROOT = "bronzerelay"
LEVELS = ("debug", "info", "warning", "error")
DEBUG = logging.DEBUG
REDACTED = "[hidden]"
RECORD_FORMAT = "{asctime}{levelname}{message}"
RENAMED_FIELDS = {"asctime": "time", "levelname": "level"}
BEARER = re.compile(r"(?i)(bearer(?:\s|\\[tnr])+)[^\s\"'\\,;]+")
AUTHORIZATION = re.compile(
    r"(?i)(authorization[\\\"']*+\s*+[:=][\s\\\"']*+)(?!bearer\s)[^\"',\\]+"
)

# The key of the request that the current task is running; each task has its own value.
_current_key: ContextVar[str] = ContextVar("current_key", default="")


@contextmanager
def hide_key(key: str) -> Iterator[None]:
    """Redact `key` in every line that the calling task logs inside the block."""
    token = _current_key.set(key)
    try:
        yield
    finally:
        _current_key.reset(token)


def redact_keys(text: str) -> str:
    """Return `text` with each bearer key and authorization value redacted."""
    key = _current_key.get()
    if key:
        text = text.replace(key, REDACTED)
    text = BEARER.sub(rf"\1{REDACTED}", text)
    return AUTHORIZATION.sub(rf"\1{REDACTED}", text)


class PartFilter(logging.Filter):
    """Prefixes each message with the name of a part, and sets the field `part`."""

    def __init__(self, part: str):
        super().__init__()
        self._part = part

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the prefix and the field `part` to the record; return True."""
        if getattr(record, "part", None) is None:
            record.msg = f"{self._part}: {record.getMessage()}"
            record.args = ()
            record.part = self._part
        return True


class RedactingFormatter(JsonFormatter):
    """Formats a record as a JSON line with keys redacted."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line.

        A key can get into a line through its message, a field or the text of an
        exception, and anybody who reads the log could then act as that caller. Keys
        are therefore redacted in the complete line, which contains all of these.
        """
        return redact_keys(super().format(record))


def make_handler(stream: TextIO) -> logging.Handler:
    """Return a handler that writes JSON lines to `stream`."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        RedactingFormatter(RECORD_FORMAT, style="{", rename_fields=RENAMED_FIELDS)
    )
    return handler


def open_log(part: str, stream: TextIO | None = None) -> logging.Logger:
    """Return the logger of a part; without a `stream` it writes to stderr.

    Messages start with the part's name and a colon. Pass fields in `extra`.
    """
    if stream is None:
        logger = logging.getLogger(f"{ROOT}.{part}")
        _prepare_root()
    else:
        logger = logging.Logger(f"{ROOT}.{part}", logging.DEBUG)
        logger.addHandler(make_handler(stream))
    if not logger.filters:
        logger.addFilter(PartFilter(part))
    return logger


def set_level(level: str) -> None:
    """Make the loggers to stderr write events of `level` (one of LEVELS) and above."""
    _prepare_root().setLevel(level.upper())


def _prepare_root() -> logging.Logger:
    root = logging.getLogger(ROOT)
    if not root.handlers:
        root.addHandler(make_handler(sys.stderr))
        root.setLevel(logging.INFO)
        root.propagate = False
    return root
