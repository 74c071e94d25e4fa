"""The daemon's settings, read from flags and environment variables."""

import re
from collections.abc import Callable
from typing import Any, NamedTuple

import click

from bronzerelay import logs, policies, registry
from bronzerelay.runtime import Address, parse_address

PROGRAM = "bronzerelayd"
VARIABLE_PREFIX = "BRONZERELAY_"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
MIN_SECRET_BYTES = 8


class DaemonSettings(NamedTuple):
    """All settings of a daemon; times are in milliseconds, sizes in bytes."""

    name: str
    failure_domain: str
    listen: Address
    peer_listen: Address
    platform: tuple[Address, ...]
    peer_secret: str
    seeds: tuple[Address, ...] = ()
    max_connections: int = 400
    max_body_bytes: int = 1_048_576
    max_header_bytes: int = 16_384
    request_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
    default_deadline_ms: int = 2_000
    max_deadline_ms: int = 30_000
    queue_limit: int = 200
    heartbeat_ms: int = 200
    suspect_ms: int = 700
    isolation_ms: int = 3_000
    drain_ms: int = 10_000
    status_wait_ms: int = 150
    statement_timeout_ms: int = 1_000
    tls_certificate: str = ""
    tls_key: str = ""
    log_level: str = "info"
    policy: str = policies.DEFAULT


class CheckedType(click.ParamType):
    """A parameter type whose error messages always say what is allowed."""

    def __init__(self, name: str, parse: Callable[[str], Any], allowed: str):
        self.name = name
        self._parse = parse
        self._allowed = allowed

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> Any:
        """Return the parsed value, or fail with an error that says what is allowed."""
        if not isinstance(value, str):
            return value
        try:
            return self._parse(value)
        except ValueError:
            # The message must not contain the value, which may be a secret.
            self.fail(f"The value must be {self._allowed}.", param, ctx)

    def get_missing_message(
        self, param: click.Parameter, ctx: click.Context | None = None
    ) -> str:
        """Return what is allowed, for the error message about a missing flag."""
        return f"The value must be {self._allowed}."


def make_number_type(lowest: int, highest: int) -> CheckedType:
    """Return a parameter type for whole numbers from `lowest` to `highest`."""

    def parse(text: str) -> int:
        number = int(text)
        if not lowest <= number <= highest:
            raise ValueError(text)
        return number

    allowed = f"a whole number from {lowest} to {highest}"
    return CheckedType("number", parse, allowed)


def _parse_name(text: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def _parse_secret(text: str) -> str:
    if len(text.encode()) < MIN_SECRET_BYTES:
        raise ValueError("too short")
    return text


def _parse_level(text: str) -> str:
    if text not in logs.LEVELS:
        raise ValueError(text)
    return text


def _parse_policy(text: str) -> str:
    if text not in registry.names(registry.POLICY):
        raise ValueError(text)
    return text


def _parse_addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(part.strip()) for part in text.split(","))


NAME = CheckedType(
    "name", _parse_name, "1 to 63 letters, digits, dots, dashes or underscores"
)
ADDRESS = CheckedType(
    "host:port", parse_address, "HOST:PORT with a port from 0 to 65535"
)
ADDRESSES = CheckedType(
    "host:port,...", _parse_addresses, "HOST:PORT, or several with commas between"
)
SECRET = CheckedType("secret", _parse_secret, f"{MIN_SECRET_BYTES} bytes or more")
LEVEL = CheckedType("level", _parse_level, "one of " + ", ".join(logs.LEVELS))
POLICY = CheckedType(
    "policy", _parse_policy, "one of " + ", ".join(registry.names(registry.POLICY))
)
FILE = CheckedType("file", str, "the path of a file")
HOUR_MS = 3_600_000


class Setting(NamedTuple):
    """The flag of one field of DaemonSettings."""

    field: str
    type: CheckedType
    help: str


SETTINGS = (
    Setting("name", NAME, "Name of this VM, unique in the fleet."),
    Setting("failure_domain", NAME, "Failure domain of this VM."),
    Setting("listen", ADDRESS, "Address that callers connect to."),
    Setting("peer_listen", ADDRESS, "Address that other daemons connect to."),
    Setting("platform", ADDRESSES, "Addresses of the platform's key-value service."),
    Setting("peer_secret", SECRET, "Secret that all daemons share."),
    Setting(
        "seeds",
        ADDRESSES,
        "Peers to ask for the roster and configuration while the platform is down.",
    ),
    Setting(
        "max_connections",
        make_number_type(1, 20_000),
        "Maximum number of callers' connections; further ones are refused.",
    ),
    Setting(
        "max_body_bytes", make_number_type(256, 16_777_216), "Largest request body."
    ),
    Setting(
        "max_header_bytes",
        make_number_type(256, 1_048_576),
        "Largest size of request line and headers together.",
    ),
    Setting(
        "request_timeout_ms",
        make_number_type(10, HOUR_MS),
        "Time within which a complete request has to arrive.",
    ),
    Setting(
        "idle_timeout_ms",
        make_number_type(10, HOUR_MS),
        "Time after which a connection without requests is closed.",
    ),
    Setting(
        "default_deadline_ms",
        make_number_type(1, HOUR_MS),
        "Deadline of a request that gives none.",
    ),
    Setting(
        "max_deadline_ms",
        make_number_type(1, HOUR_MS),
        "Longest deadline that a request may give.",
    ),
    Setting(
        "queue_limit",
        make_number_type(1, 100_000),
        "Maximum number of requests of one workspace that wait for a slot.",
    ),
    Setting(
        "heartbeat_ms", make_number_type(10, 60_000), "Time between two heartbeats."
    ),
    Setting(
        "suspect_ms",
        make_number_type(20, 600_000),
        "Silence after which an instance or a peer is suspected.",
    ),
    Setting(
        "isolation_ms",
        make_number_type(100, 600_000),
        "Time without contact with the platform and peers after which requests "
        "are refused.",
    ),
    Setting(
        "drain_ms",
        make_number_type(0, HOUR_MS),
        "Time for running requests to end when the daemon stops.",
    ),
    Setting(
        "status_wait_ms",
        make_number_type(10, 60_000),
        "Longest wait for the answer to one status call to an instance.",
    ),
    Setting(
        "statement_timeout_ms",
        make_number_type(1, HOUR_MS),
        "Time for an instance to answer one statement.",
    ),
    Setting("tls_certificate", FILE, "Certificate chain (PEM); turns TLS on."),
    Setting("tls_key", FILE, "Private key (PEM) of the certificate."),
    Setting("log_level", LEVEL, "Lowest level that is logged."),
    Setting(
        "policy",
        POLICY,
        "Policy of the daemon; naive breaks its guarantees and is for benchmarks only.",
    ),
)


def format_flag(field: str) -> str:
    """Return the flag of a field."""
    return "--" + field.replace("_", "-")


def format_variable(field: str) -> str:
    """Return the environment variable of a field."""
    return VARIABLE_PREFIX + field.upper()


def daemon_command(run: Callable[[DaemonSettings], int]) -> click.Command:
    """Return a command that reads the settings and exits with `run`'s exit code.

    With invalid settings it exits with code 2 and doesn't call `run`.
    """

    @click.pass_context
    def start(ctx: click.Context, **values: Any) -> None:
        ctx.exit(run(make_settings(values, ctx)))

    return click.Command(
        PROGRAM,
        params=[_make_option(setting) for setting in SETTINGS],
        callback=start,
        help="Run the daemon of a database proxy until SIGTERM.",
        context_settings={"help_option_names": ["-h", "--help"]},
    )


def read_settings(arguments: list[str]) -> DaemonSettings:
    """Return the settings from flags and environment, or raise click.UsageError."""
    command = daemon_command(lambda settings: 0)
    ctx = command.make_context(PROGRAM, list(arguments))
    return make_settings(ctx.params, ctx)


def make_settings(values: dict[str, Any], ctx: click.Context) -> DaemonSettings:
    """Return the settings after checking those that depend on each other."""
    settings = DaemonSettings(**values)
    _check_at_most(settings, ctx, "default_deadline_ms", "max_deadline_ms")
    _check_at_most(settings, ctx, "heartbeat_ms", "suspect_ms")
    _check_at_most(settings, ctx, "suspect_ms", "isolation_ms")
    if bool(settings.tls_certificate) != bool(settings.tls_key):
        raise click.UsageError(
            f"{_describe('tls_certificate')} and {_describe('tls_key')} "
            "must be given both or neither.",
            ctx,
        )
    return settings


def _check_at_most(
    settings: DaemonSettings, ctx: click.Context, smaller: str, larger: str
) -> None:
    low, high = getattr(settings, smaller), getattr(settings, larger)
    if low > high:
        message = (
            f"{_describe(smaller)} is {low} and must be at most {high}, "
            f"the value of {_describe(larger)}."
        )
        raise click.UsageError(message, ctx)


def _describe(field: str) -> str:
    return f"{format_flag(field)} (env var: {format_variable(field)})"


def _make_option(setting: Setting) -> click.Option:
    defaults = DaemonSettings._field_defaults
    options: dict[str, Any] = {"required": True}
    if setting.field in defaults:
        options = {"default": defaults[setting.field], "show_default": True}
    return click.Option(
        [format_flag(setting.field)],
        envvar=format_variable(setting.field),
        type=setting.type,
        help=setting.help,
        show_envvar=True,
        **options,
    )
