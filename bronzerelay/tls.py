"""TLS towards callers, with a certificate that is reloaded when its files change."""

import os
import ssl
from collections.abc import Callable
from logging import Logger
from typing import NamedTuple


class FileVersion(NamedTuple):
    """Identifies one version of a file's content."""

    inode: int
    size: int
    modified_ns: int


def make_context_loader(
    certificate: str, key: str, log: Logger
) -> Callable[[], ssl.SSLContext]:
    """Return a function that returns the context, reloaded when the files changed.

    Raise OSError when the files can't be used now. Only one task may call the returned
    function.
    """
    paths = (certificate, key)
    versions = _read_versions(paths)
    context = load_context(certificate, key)

    def load_current_context() -> ssl.SSLContext:
        nonlocal versions, context
        new_versions = _read_versions(paths)
        if new_versions == versions:
            return context
        # Renewing a certificate replaces two files, one after the other. In between
        # they don't match and can't be loaded, so that no caller could connect. The
        # last good pair therefore stays in use until the files change again.
        versions = new_versions
        try:
            context = load_context(certificate, key)
        except OSError as error:
            log.warning("The changed certificate can't be used: %s.", error)
        else:
            log.info("The changed certificate is in use.")
        return context

    return load_current_context


def load_context(certificate: str, key: str) -> ssl.SSLContext:
    """Return a server's TLS context with the certificate, or raise OSError."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    # Without a password callback, OpenSSL would prompt on the terminal for that of an
    # encrypted key and block.
    context.load_cert_chain(certificate, key, password=lambda: "")
    return context


def _read_versions(paths: tuple[str, str]) -> list[FileVersion | None]:
    return [_read_version(path) for path in paths]


def _read_version(path: str) -> FileVersion | None:
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileVersion(status.st_ino, status.st_size, status.st_mtime_ns)
