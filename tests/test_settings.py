"""Tests of the daemon's settings."""

import click
import pytest
from click.testing import CliRunner

from bronzerelay.runtime import Address
from bronzerelay.settings import (
    SETTINGS,
    DaemonSettings,
    daemon_command,
    format_flag,
    format_variable,
    read_settings,
)

REQUIRED = {
    "name": "vm-1",
    "failure_domain": "a",
    "listen": "127.0.0.1:8101",
    "peer_listen": "127.0.0.1:8201",
    "platform": "127.0.0.1:9000, 127.0.0.1:9001",
    "peer_secret": "a-long-secret",
}


def build_arguments(**changes: str) -> list[str]:
    """Return the flags of valid settings, with `changes` applied."""
    values = {**REQUIRED, **changes}
    return [f"{format_flag(field)}={value}" for field, value in values.items()]


def test_flags_and_variables_give_the_same_settings(monkeypatch):
    by_flags = read_settings(build_arguments(drain_ms="5", log_level="debug"))
    for field, value in {**REQUIRED, "drain_ms": "5", "log_level": "debug"}.items():
        monkeypatch.setenv(format_variable(field), value)
    assert read_settings([]) == by_flags
    assert by_flags.platform == (Address("127.0.0.1", 9000), Address("127.0.0.1", 9001))
    assert (by_flags.drain_ms, by_flags.max_connections) == (5, 400)
    assert read_settings(["--drain-ms=6"]).drain_ms == 6


def test_every_field_has_a_flag_and_the_command_exits_with_the_code_of_run():
    assert [setting.field for setting in SETTINGS] == list(DaemonSettings._fields)
    result = CliRunner().invoke(daemon_command(lambda _: 3), build_arguments())
    assert result.exit_code == 3
    text = CliRunner().invoke(daemon_command(lambda _: 0), ["--help"]).output
    assert all(format_flag(field) in text for field in DaemonSettings._fields)


@pytest.mark.parametrize(
    ("field", "value", "allowed"),
    [
        ("max_connections", "0", "a whole number from 1 to 20000"),
        ("max_connections", "many", "a whole number from 1 to 20000"),
        ("drain_ms", "3600001", "a whole number from 0 to 3600000"),
        ("listen", "localhost", "HOST:PORT with a port from 0 to 65535"),
        ("platform", "127.0.0.1:1,", "HOST:PORT, or several with commas between"),
        ("name", "a b", "1 to 63 letters, digits, dots, dashes or underscores"),
        ("peer_secret", "short", "8 bytes or more"),
        ("log_level", "loud", "one of debug, info, warning, error"),
    ],
)
@pytest.mark.parametrize("by_variable", [False, True])
def test_an_error_names_flag_variable_and_allowed_values(
    field, value, allowed, by_variable
):
    """Guards against a daemon that starts with a mistyped setting, which would be
    noticed only under load.
    """
    values = {format_variable(name): text for name, text in REQUIRED.items()}
    arguments = [] if by_variable else [f"{format_flag(field)}={value}"]
    values |= {format_variable(field): value} if by_variable else {}
    command = daemon_command(lambda _: pytest.fail("it ran"))
    result = CliRunner().invoke(command, arguments, env=values)
    assert result.exit_code == 2
    for part in (format_flag(field), format_variable(field), allowed):
        assert part in result.output
    assert field != "peer_secret" or value not in result.output


def test_a_missing_setting_is_named():
    result = CliRunner().invoke(daemon_command(lambda _: 0), ["--name=vm-1"])
    assert result.exit_code == 2
    assert "'--failure-domain' (env var: 'BRONZERELAY_FAILURE_DOMAIN')" in result.output


@pytest.mark.parametrize(
    "changes",
    [
        {"default_deadline_ms": "40000"},
        {"heartbeat_ms": "800"},
        {"suspect_ms": "4000"},
        {"tls_key": "key.pem"},
    ],
)
def test_settings_that_contradict_each_other_are_refused(changes):
    with pytest.raises(click.UsageError) as caught:
        read_settings(build_arguments(**changes))
    assert caught.value.exit_code == 2
    (field,) = changes
    assert format_flag(field) in str(caught.value)
    assert format_variable(field) in str(caught.value)
