"""Tests of TLS towards callers."""

import io
import os
import ssl

import pytest

from bronzerelay.codes import Code
from bronzerelay.logs import open_log
from bronzerelay.tls import make_context_loader
from tests.builders_front import (
    build_request,
    run_front,
    trusting_nobody,
    write_certificate,
)


def run_tls_front(folder, **options):
    """Run a front with a new certificate in `folder`."""
    certificate, key = write_certificate(folder, "first")
    return run_front(tls_certificate=certificate, tls_key=key, **options)


def read_served_certificate(running) -> str:
    """Return the certificate that a new caller is shown."""
    address = running.front.address
    return ssl.get_server_certificate(address, timeout=5).strip()


def test_a_renewed_certificate_is_served_without_a_restart(tmp_path):
    """A certificate is about to expire and is replaced while callers connect. The
    files change one after the other, and meanwhile the old pair must serve on.
    """
    with run_tls_front(tmp_path) as running:
        old = (tmp_path / "cert.pem").read_text().strip()
        early = running.call(tls=trusting_nobody())
        assert early.ask(build_request("a")).json["value"] == "a"
        (tmp_path / "new").mkdir()
        write_certificate(tmp_path / "new", "second")
        os.replace(tmp_path / "new/cert.pem", tmp_path / "cert.pem")
        assert read_served_certificate(running) == old
        os.replace(tmp_path / "new/key.pem", tmp_path / "key.pem")
        assert read_served_certificate(running) != old
        assert early.ask(build_request("b")).json["value"] == "b"
        assert "can't be used" in running.log.getvalue()


def test_a_caller_that_shakes_no_hands_holds_up_only_itself(tmp_path):
    """A caller connects and sends nothing, or speaks no TLS. The others must get
    their handshakes at once.
    """
    with run_tls_front(tmp_path, request_timeout_ms=100) as running:
        silent, plain = running.call(), running.call()
        plain.send(build_request())
        assert running.call(tls=trusting_nobody()).ask(build_request()).status == 200
        assert silent.read_to_end() == b""
        assert b"200 OK" not in plain.read_to_end()
        assert "Traceback" not in running.log.getvalue()


def test_the_connection_limit_and_the_drain_answer_in_tls(tmp_path):
    """A daemon is full, and later stops. Its callers over TLS need the same clear
    words as the others.
    """
    with run_tls_front(tmp_path, max_connections=1) as running:
        held = running.call(tls=trusting_nobody())
        assert held.ask(build_request()).status == 200
        refused = running.call(tls=trusting_nobody()).ask(build_request())
        assert refused.json["code"] == Code.CONNECTION_LIMIT
        drained = running.runtime.start(running.front.drain, 5000)
        assert held.read_answer().json["code"] == Code.STOPPING
        held.connection.close()
        assert drained.result()


def test_unusable_files_are_told_at_the_start(tmp_path):
    certificate, key = write_certificate(tmp_path, "first")
    log = open_log("front", io.StringIO())
    with pytest.raises(OSError):
        make_context_loader(certificate, str(tmp_path / "absent.pem"), log)
    with pytest.raises(OSError):
        make_context_loader(key, certificate, log)
