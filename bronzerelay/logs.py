"""The log: one JSON line for each event, and never a caller's key in it."""

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
HIDDEN = "[hidden]"
FIELDS = "{asctime}{levelname}{message}"
RENAMED = {"asctime": "time", "levelname": "level"}
BEARER = re.compile(r"(?i)(bearer(?:\s|\\[tnr])+)[^\s\"'\\,;]+")
AUTHORIZATION = re.compile(
    r"(?i)(authorization[\\\"']*+\s*+[:=][\s\\\"']*+)(?!bearer\s)[^\"',\\]+"
)

# The key of the request that this task runs now; each task has its own value.
_current_key: ContextVar[str] = ContextVar("current_key", default="")


@contextmanager
def hide_key(key: str) -> Iterator[None]:
    """Keep `key` out of every line that the calling task logs inside the block."""
    token = _current_key.set(key)
    try:
        yield
    finally:
        _current_key.reset(token)


def remove_keys(text: str) -> str:
    """Return `text` with each bearer key and authorization value taken out."""
    key = _current_key.get()
    if key:
        text = text.replace(key, HIDDEN)
    text = BEARER.sub(rf"\1{HIDDEN}", text)
    return AUTHORIZATION.sub(rf"\1{HIDDEN}", text)


class PartFilter(logging.Filter):
    """Puts the fixed prefix of one part in front of each message."""

    def __init__(self, part: str):
        super().__init__()
        self._part = part

    def filter(self, record: logging.LogRecord) -> bool:
        """Return True after the record has its prefix and its field `part`."""
        if getattr(record, "part", None) is None:
            record.msg = f"{self._part}: {record.getMessage()}"
            record.args = ()
            record.part = self._part
        return True


class KeylessFormatter(JsonFormatter):
    """Writes a record as a JSON line without keys."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line.

        A key can reach a line through its message, a field or the text of an
        exception, and whoever reads the log could then act as that caller. The
        filter therefore works on the finished line, where all of these meet.
        """
        return remove_keys(super().format(record))


def make_handler(stream: TextIO) -> logging.Handler:
    """Return a handler that writes JSON lines to `stream`."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(KeylessFormatter(FIELDS, style="{", rename_fields=RENAMED))
    return handler


def open_log(part: str, stream: TextIO | None = None) -> logging.Logger:
    """Return the logger of a part; without a `stream` it writes to stderr.

    Messages start with the part's name and a colon. Fields go into `extra`.
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
    """Let the loggers to stderr write events of `level` (one of LEVELS) and above."""
    _prepare_root().setLevel(level.upper())


def _prepare_root() -> logging.Logger:
    root = logging.getLogger(ROOT)
    if not root.handlers:
        root.addHandler(make_handler(sys.stderr))
        root.setLevel(logging.INFO)
        root.propagate = False
    return root
