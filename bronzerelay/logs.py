"""The log: one JSON line per event, with callers' keys redacted."""

import json
import logging
import re
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

ROOT = "bronzerelay"
LEVELS = ("debug", "info", "warning", "error")
DEBUG = logging.DEBUG
REDACTED = "[hidden]"
# The part that lines of libraries belong to.
LIBRARY = "library"
RECORD_FORMAT = "{asctime}{levelname}{message}"
RENAMED_FIELDS = {"asctime": "time", "levelname": "level"}
BEARER = re.compile(r"(?i)(bearer(?:\s|\\[tnr])+)[^\s\"'\\,;]+")
AUTHORIZATION = re.compile(
    r"(?i)(authorization[\\\"']*+\s*+[:=][\s\\\"']*+)(?!bearer\s)[^\"',\\\r\n]+"
)
# Fields whose names end so hold credentials.
CREDENTIALS = "authorization"
# The fields that hold nothing of a caller but an id that was checked.
SAFE_FIELDS = frozenset({"time", "level", "part", "request_id"})

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


def _redact_value(value: Any) -> Any:
    """Return a field's value with the keys in all of its texts redacted."""
    if isinstance(value, str):
        return redact_keys(value)
    if isinstance(value, list):
        return [_redact_value(item) for item in value]
    if isinstance(value, dict):
        return {
            redact_keys(name): _redact_field(name, item) for name, item in value.items()
        }
    return value


def _redact_field(name: str, value: Any) -> Any:
    if name.lower().endswith(CREDENTIALS):
        return REDACTED
    return value if name in SAFE_FIELDS else _redact_value(value)


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
        are therefore redacted in all texts of the complete line. They are redacted one
        by one, since a caller may send a key such as "1" or "n", and without it the
        line would no longer be JSON.
        """
        fields = json.loads(super().format(record))
        redacted = {name: _redact_field(name, value) for name, value in fields.items()}
        return json.dumps(redacted)


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
    """Make the loggers to stderr write events of `level` (one of LEVELS) and above.

    What libraries log from warnings on is written there as well. Without a handler,
    Python would write it as plain text, and the text of an exception may look like
    lines of the log.
    """
    _prepare_root().setLevel(level.upper())
    libraries = logging.getLogger()
    if not any(_is_own(handler) for handler in libraries.handlers):
        handler = make_handler(sys.stderr)
        handler.addFilter(PartFilter(LIBRARY))
        libraries.addHandler(handler)


def _is_own(handler: logging.Handler) -> bool:
    return isinstance(handler.formatter, RedactingFormatter)


def _prepare_root() -> logging.Logger:
    root = logging.getLogger(ROOT)
    if not root.handlers:
        root.addHandler(make_handler(sys.stderr))
        root.setLevel(logging.INFO)
        root.propagate = False
    return root
