"""The flags and environment variables that the operators' commands share."""

import contextlib
import functools
import ssl
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import click
from expression import Ok, Result

# Registers the client of the key-value service.
import bronzerelay.keyvalue  # noqa: F401
from bronzerelay import registry
from bronzerelay.bundle import DIGEST_PREFIX, parse_bundle
from bronzerelay.bundlefile import read_text
from bronzerelay.codes import Code, refuse
from bronzerelay.fleet import Fleet
from bronzerelay.keyvalue import KeyValueSettings
from bronzerelay.outcomes import RolloutError, refuse_mistakes
from bronzerelay.printing import JSON, TEXT
from bronzerelay.rollout import Operator, Rollout
from bronzerelay.runtime import Address, Runtime
from bronzerelay.settings import (
    ADDRESSES,
    HOUR_MS,
    NAME,
    VARIABLE_PREFIX,
    make_number_type,
)
from bronzerelay.types import Bundle

TASK_LIMIT = 64
CLOSE_DEADLINE_MS = 1000
# A new version is normally in force on every daemon within a second.
DEFAULT_WAIT_MS = 15_000
PLATFORM_TIMEOUT_MS = 5_000

PLATFORM = "platform"
OPERATOR = "operator"
OPERATOR_KEY = "operator_key"
DAEMONS = "daemons"
DAEMON_CA = "daemon_ca"
WAIT = "wait_ms"
OUTPUT = "output"
SIGNING_OPTIONS = (PLATFORM, OPERATOR, OPERATOR_KEY)
FLEET_OPTIONS = (DAEMONS, DAEMON_CA)


class ToolSettings(NamedTuple):
    """All settings of the command line; each command sets only those that it uses."""

    platform: tuple[Address, ...] = ()
    operator: str = ""
    operator_key: str = ""
    daemons: tuple[Address, ...] = ()
    daemon_ca: str = ""
    wait_ms: int = DEFAULT_WAIT_MS
    output: str = TEXT


def _make_option(field: str, help_text: str, **options: Any) -> Callable:
    flag = "--" + field.replace("_", "-")
    return click.option(
        flag,
        envvar=VARIABLE_PREFIX + field.upper(),
        show_envvar=True,
        help=help_text,
        **options,
    )


OPTIONS = {
    PLATFORM: _make_option(
        PLATFORM, "The platform's key-value service.", type=ADDRESSES, required=True
    ),
    OPERATOR: _make_option(
        OPERATOR, "Your operator name in the bundle.", type=NAME, required=True
    ),
    OPERATOR_KEY: _make_option(
        OPERATOR_KEY,
        "The file with your private key; required if bundles must be signed.",
        type=click.Path(exists=True, dir_okay=False),
        default=None,
    ),
    DAEMONS: _make_option(
        DAEMONS,
        "Every daemon's listen address for callers.",
        type=ADDRESSES,
        default=None,
    ),
    DAEMON_CA: _make_option(
        DAEMON_CA,
        "The file with the CA certificates (PEM) to trust; enables TLS.",
        type=click.Path(exists=True, dir_okay=False),
        default=None,
    ),
    WAIT: _make_option(
        WAIT,
        "How long to wait for all daemons, in milliseconds.",
        type=make_number_type(0, HOUR_MS),
        default=DEFAULT_WAIT_MS,
        show_default=True,
    ),
    OUTPUT: _make_option(
        OUTPUT,
        "Text for people or JSON for scripts.",
        type=click.Choice([TEXT, JSON]),
        default=TEXT,
        show_default=True,
    ),
}


class Session(NamedTuple):
    """The runtime and the settings of one command; unrelated to callers' sessions."""

    runtime: Runtime
    settings: ToolSettings

    @property
    def output(self) -> str:
        """Return "text" or "json"."""
        return self.settings.output

    def open_rollout(self) -> Rollout:
        """Return the Rollout of the operator in the settings."""
        name = self.settings.operator or "nobody"
        settings = KeyValueSettings(self.settings.platform, name, PLATFORM_TIMEOUT_MS)
        key_value = registry.find(registry.KEY_VALUE, "http")(self.runtime, settings)
        return Rollout(key_value, Operator(name, self._read_private_key()))

    def open_fleet(self) -> Fleet:
        """Return the daemons in the settings; without any, raise a usage error."""
        if not self.settings.daemons:
            message = (
                "--daemons (env var: BRONZERELAY_DAEMONS) is missing. "
                "The value must be HOST:PORT, or several with commas between."
            )
            raise click.UsageError(message)
        return Fleet(self.runtime, self.settings.daemons, self._open_tls())

    def _open_tls(self) -> ssl.SSLContext | None:
        if not self.settings.daemon_ca:
            return None
        try:
            return ssl.create_default_context(cafile=self.settings.daemon_ca)
        except OSError as error:
            message = f"--daemon-ca can't be used: {error.strerror}"
            raise click.UsageError(message) from None

    def _read_private_key(self) -> str:
        if not self.settings.operator_key:
            return ""
        try:
            return read_text(self.settings.operator_key).strip()
        except (OSError, ValueError) as error:
            # Only the error's type is shown: its text might quote the file.
            message = f"--operator-key can't be read: {type(error).__name__}"
            raise click.UsageError(message) from None


def with_options(*names: str) -> Callable:
    """Return a decorator that adds these options and --output to a command.

    The command's function gets a Session as its first argument and returns the exit
    code.
    """

    def decorate(function: Callable[..., int]) -> Callable:
        @click.pass_context
        @functools.wraps(function)
        def run(ctx: click.Context, **values: Any) -> None:
            option_values = {name: values.pop(name) for name in (*names, OUTPUT)}
            option_values = {
                name: value
                for name, value in option_values.items()
                if value is not None
            }
            with open_session(ToolSettings(**option_values)) as session:
                code = function(session, **values)
            ctx.exit(code)

        for name in reversed((*names, OUTPUT)):
            run = OPTIONS[name](run)
        return run

    return decorate


@contextlib.contextmanager
def open_session(settings: ToolSettings) -> Iterator[Session]:
    """Return a context manager with a Session, whose runtime is closed at the end."""
    runtime = Runtime(TASK_LIMIT)
    try:
        yield Session(runtime, settings)
    finally:
        runtime.close(CLOSE_DEADLINE_MS)


def write_examples(*lines: str) -> str:
    """Return the examples section of a command's help, one example per line."""
    return "\n".join(["\b", "Examples:", *(f"  {line}" for line in lines)])


def read_target(rollout: Rollout, target: str) -> Result[Bundle, RolloutError]:
    """Return the bundle of a file or, if `target` is a digest, of that proposal."""
    if target.startswith(DIGEST_PREFIX):
        return rollout.records.read_proposal(target).map(
            lambda record: record["bundle"]
        )
    return read_bundle(target)


def read_bundle(path: str) -> Result[Bundle, RolloutError]:
    """Return the bundle of a file, or every mistake in it."""
    return read_file(path).bind(_parse)


def read_file(path: str) -> Result[str, RolloutError]:
    """Return the text of a file."""
    try:
        return Ok(read_text(path))
    except OSError as error:
        message = f"{path} can't be read: {error.strerror}"
    except ValueError:
        message = f"{path} isn't text in UTF-8"
    return refuse(Code.BUNDLE_INVALID, message).map_error(RolloutError)


def _parse(text: str) -> Result[Bundle, RolloutError]:
    parsed = parse_bundle(text)
    if parsed.is_error():
        return refuse_mistakes(parsed.error)
    return Ok(parsed.ok)
