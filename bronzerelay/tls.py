"""TLS towards callers, with a certificate that may change while the daemon runs."""

import os
import ssl
from collections.abc import Callable
from logging import Logger
from typing import NamedTuple


class FileState(NamedTuple):
    """What tells one content of a file from the next."""

    inode: int
    size: int
    modified_ns: int


def open_tls(certificate: str, key: str, log: Logger) -> Callable[[], ssl.SSLContext]:
    """Return a function that returns the context of the files as they are now.

    Raise OSError when the files can't be used at first. Only one task may call the
    function.
    """
    paths = (certificate, key)
    states = _read_states(paths)
    context = load_context(certificate, key)

    def choose_context() -> ssl.SSLContext:
        nonlocal states, context
        new_states = _read_states(paths)
        if new_states == states:
            return context
        # Whoever renews a certificate replaces two files, one after the other. In
        # between they don't match, and callers would find no TLS at all. So the last
        # good pair stays in use until the next change.
        states = new_states
        try:
            context = load_context(certificate, key)
        except OSError as error:
            log.warning("The changed certificate can't be used: %s.", error)
        else:
            log.info("The changed certificate is in use.")
        return context

    return choose_context


def load_context(certificate: str, key: str) -> ssl.SSLContext:
    """Return a server's context, or raise OSError."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    # Without a password the library would ask at the terminal and wait for ever.
    context.load_cert_chain(certificate, key, password=lambda: "")
    return context


def _read_states(paths: tuple[str, str]) -> list[FileState | None]:
    return [_read_state(path) for path in paths]


def _read_state(path: str) -> FileState | None:
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileState(status.st_ino, status.st_size, status.st_mtime_ns)
