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
    make_tls_context,
    run_front,
    write_certificate,
)


def run_tls_front(folder, **options):
    """Run a front with a new certificate in `folder`."""
    certificate, key = write_certificate(folder, "first")
    return run_front(tls_certificate=certificate, tls_key=key, **options)


def read_served_certificate(running) -> str:
    """Return the certificate that the front presents to a new caller."""
    address = running.front.address
    return ssl.get_server_certificate(address, timeout=5).strip()


def test_a_renewed_certificate_is_served_without_a_restart(tmp_path):
    """A certificate is replaced while callers connect. Its two files change one after
    the other, and the old pair has to stay in use in between.
    """
    with run_tls_front(tmp_path) as running:
        old = (tmp_path / "cert.pem").read_text().strip()
        old_caller = running.call(tls=make_tls_context())
        assert old_caller.ask(build_request("a")).json["value"] == "a"
        (tmp_path / "new").mkdir()
        write_certificate(tmp_path / "new", "second")
        os.replace(tmp_path / "new/cert.pem", tmp_path / "cert.pem")
        assert read_served_certificate(running) == old
        os.replace(tmp_path / "new/key.pem", tmp_path / "key.pem")
        assert read_served_certificate(running) != old
        assert old_caller.ask(build_request("b")).json["value"] == "b"
        assert "can't be used" in running.log.getvalue()


def test_a_caller_without_a_handshake_blocks_only_itself(tmp_path):
    """Guards against a caller that connects and sends nothing, or doesn't use TLS, and
    thereby delays the handshakes of others.
    """
    with run_tls_front(tmp_path, request_timeout_ms=100) as running:
        silent, plain = running.call(), running.call()
        plain.send(build_request())
        assert running.call(tls=make_tls_context()).ask(build_request()).status == 200
        assert silent.read_to_end() == b""
        assert b"200 OK" not in plain.read_to_end()
        assert "Traceback" not in running.log.getvalue()


def test_the_connection_limit_and_the_drain_answer_over_tls(tmp_path):
    """Callers over TLS have to get the same refusals as others when the connection
    limit is reached and when the daemon stops.
    """
    with run_tls_front(tmp_path, max_connections=1) as running:
        held = running.call(tls=make_tls_context())
        assert held.ask(build_request()).status == 200
        refused = running.call(tls=make_tls_context()).ask(build_request())
        assert refused.json["code"] == Code.CONNECTION_LIMIT
        drained = running.runtime.start(running.front.drain, 5000)
        assert held.read_answer().json["code"] == Code.STOPPING
        held.connection.close()
        assert drained.result()


def test_unusable_files_raise_at_the_start(tmp_path):
    certificate, key = write_certificate(tmp_path, "first")
    log = open_log("front", io.StringIO())
    with pytest.raises(OSError):
        make_context_loader(certificate, str(tmp_path / "absent.pem"), log)
    with pytest.raises(OSError):
        make_context_loader(key, certificate, log)
