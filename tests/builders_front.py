"""Helpers for tests of the front: a running front, callers, certificates."""

import contextlib
import datetime
import io
import ipaddress
import json
import ssl
from typing import Any, NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from expression import Ok

from bronzerelay.front import FrontSettings, Handlers, HttpFront
from bronzerelay.logs import open_log
from bronzerelay.metrics import Metrics
from bronzerelay.runtime import Address, Connection, Runtime

KEY = "key-of-the-tests"
TIMEOUT_MS = 5000


class ReceivedAnswer(NamedTuple):
    """An answer as received by a caller."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> dict[str, Any]:
        """The decoded body."""
        return json.loads(self.body)


class Caller:
    """A connection to the front that reads one answer at a time."""

    def __init__(self, connection: Connection):
        connection.set_timeout(TIMEOUT_MS)
        self.connection = connection
        self._buffer = b""

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self.connection.send(data)

    def read_answer(self) -> ReceivedAnswer:
        """Return the next answer; raise OSError when it doesn't arrive completely."""
        while b"\r\n\r\n" not in self._buffer:
            self._receive()
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        length = int(headers.get("content-length", 0))
        while len(self._buffer) < length:
            self._receive()
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return ReceivedAnswer(int(first.split()[1]), headers, body)

    def ask(self, data: bytes) -> ReceivedAnswer:
        """Send raw bytes and return the next answer."""
        self.send(data)
        return self.read_answer()

    def read_to_end(self) -> bytes:
        """Return all bytes until the front closes."""
        while True:
            data = self.connection.receive()
            if not data:
                return self._buffer
            self._buffer += data

    def _receive(self) -> None:
        data = self.connection.receive()
        if not data:
            raise ConnectionResetError(f"cut after {self._buffer!r}")
        self._buffer += data


class RunningFront(NamedTuple):
    """A front on its own port, with its log output."""

    runtime: Runtime
    front: HttpFront
    metrics: Metrics
    log: io.StringIO

    def call(self, **options: Any) -> Caller:
        """Return a new caller, connected to the front."""
        dial = self.runtime.dial
        return Caller(dial(self.front.address, TIMEOUT_MS, **options))


def answer_with_row(workspace: str, key: str, request: dict, request_id: str):
    """Return the requested row's name as its value."""
    return Ok({"value": request["statement"]["row"]})


@contextlib.contextmanager
def run_front(run_statement=answer_with_row, runtime=None, **settings):
    """Run a front until the block ends."""
    runtime = runtime or Runtime(task_limit=64)
    metrics, log = Metrics(runtime), io.StringIO()
    handlers = Handlers(run_statement, lambda: Ok(None), dict, metrics.render)
    front_settings = FrontSettings(Address("127.0.0.1", 0), **settings)
    logger = open_log("front", log)
    front = HttpFront(runtime, front_settings, handlers, metrics, logger)
    front.start()
    try:
        yield RunningFront(runtime, front, metrics, log)
    finally:
        front.drain(0)
        assert runtime.close(TIMEOUT_MS)


def build_request(row: str = "a", headers: str = "", body: bytes | None = None):
    """Return the bytes of a request that reads a row."""
    if body is None:
        statement = {"verb": "get", "row": row}
        body = json.dumps({"group": "orders", "statement": statement}).encode()
    head = (
        "POST /v1/workspaces/shop/statements HTTP/1.1\r\nHost: front\r\n"
        f"Authorization: Bearer {KEY}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def write_certificate(folder, name: str) -> tuple[str, str]:
    """Write `cert.pem` and `key.pem` for a new certificate; return their paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    host = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    start = datetime.datetime(2020, 1, 1)
    certificate = (
        x509.CertificateBuilder(subject, subject, key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36500))
        .add_extension(x509.SubjectAlternativeName([host]), critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    private = key.private_bytes(
        pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    (folder / "key.pem").write_bytes(private)
    (folder / "cert.pem").write_bytes(certificate.public_bytes(pem))
    return str(folder / "cert.pem"), str(folder / "key.pem")


def make_tls_context() -> ssl.SSLContext:
    """Return a caller's TLS context that accepts any certificate."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context
