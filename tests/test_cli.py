"""Tests of the operators' command line; failures come first."""

import json
import os
import stat

import click
import pytest
from click.testing import CliRunner

from bronzerelay.bundle import parse_bundle
from bronzerelay.bundlefile import write_bundle
from bronzerelay.cli import main
from bronzerelay.codes import Code
from bronzerelay.printing import (
    COMPARE_FAILED,
    DONE,
    FAILED,
    NOT_EVERYWHERE,
    PLATFORM_UNAVAILABLE,
    USAGE,
)
from bronzerelay.records import CURRENT_KEY
from standins.platform import REFUSE
from tests.builders_config import (
    make_bundle,
    make_key_entry,
    make_record,
    make_workspace,
)
from tests.builders_daemons import SmallDaemon
from tests.builders_front import write_certificate
from tests.builders_operators import make_team
from tests.builders_platform import find_free_address, run_platform

LONG_MS = "10000"
SHORT_MS = "300"
NAMES = ("vm-1", "vm-2")
NORTH_KEY = make_key_entry("north-key")["id"]


class Tool:
    """The command line of operators who share a platform and two daemons."""

    def __init__(self, platform, folder):
        self.folder = folder
        self.team = make_team(platform)
        self.daemons = [SmallDaemon(platform, name, NAMES) for name in NAMES]
        self.variables = {
            "BRONZERELAY_PLATFORM": str(platform.server.address),
            "BRONZERELAY_DAEMONS": ",".join(daemon.address for daemon in self.daemons),
            "BRONZERELAY_WAIT_MS": LONG_MS,
        }
        for name, key in self.team.keys.items():
            (folder / f"{name}.key").write_text(key.private)

    def write(self, bundle, name="bundle.toml"):
        path = self.folder / name
        path.write_text(write_bundle(bundle))
        return str(path)

    def run(self, *arguments, operator="ana", **variables):
        """Return the result of one command of an operator."""
        own = {
            "BRONZERELAY_OPERATOR": operator,
            "BRONZERELAY_OPERATOR_KEY": str(self.folder / f"{operator}.key"),
        }
        env = {**self.variables, **own, **variables}
        return CliRunner().invoke(main, [*arguments], env=env)

    def run_json(self, *arguments, **options):
        """Return the exit code and the decoded answer of one command."""
        result = self.run(*arguments, "--output", "json", **options)
        return result.exit_code, json.loads(result.stdout)

    def roll_out(self, bundle):
        """Put a bundle in force: one operator proposes it and another one signs it."""
        _, proposal = self.run_json("bundle", "propose", self.write(bundle))
        digest = proposal["digest"]
        assert self.run("bundle", "sign", digest, operator="beto").exit_code == DONE
        result = self.run("bundle", "rollout", digest)
        assert result.exit_code == DONE, result.output
        return result


@pytest.fixture
def tool(tmp_path):
    with run_platform() as platform:
        yield Tool(platform, tmp_path)


def list_commands(group=main, path=()):
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from list_commands(command, (*path, name))
        else:
            yield *path, name


# Keys


def test_withdraw_reports_success_only_if_every_daemon_has_the_version(tool):
    """A key has leaked and one daemon is cut off from the platform. If the command
    reported success, nobody would notice that this daemon may still accept the key.
    """
    tool.roll_out(tool.team.make_bundle())
    tool.daemons[1].cut_off = True
    command = ("key", "withdraw", "north", NORTH_KEY)
    result = tool.run(*command, BRONZERELAY_WAIT_MS=SHORT_MS)
    assert result.exit_code == NOT_EVERYWHERE
    assert "in force on 1 of 2 daemons" in result.stdout
    assert "vm-2" in result.stdout
    assert "isolated" in result.stdout
    assert "has stopped" not in result.stdout
    tool.daemons[1].cut_off = False
    again = tool.run(*command)
    assert again.exit_code == DONE
    assert f"key {NORTH_KEY} of workspace north has stopped" in again.stdout
    for daemon in tool.daemons:
        refused = daemon.store.check_key("north", "north-key")
        assert refused.error.code is Code.KEY_REJECTED
        assert daemon.store.check_key("south", "south-key").is_ok()


def test_withdraw_reports_a_live_daemon_missing_from_the_list(tool):
    """A VM was added but is missing from the operator's list of daemons. The key may
    still work there, so the command must not report that it has stopped everywhere.
    """
    tool.roll_out(tool.team.make_bundle())
    command = ("key", "withdraw", "north", NORTH_KEY)
    first = {"BRONZERELAY_DAEMONS": tool.daemons[0].address}
    code, answer = tool.run_json(*command, **first)
    assert (code, answer["unasked"]) == (NOT_EVERYWHERE, ["vm-2"])


def test_a_granted_key_works_and_only_its_hash_is_stored(tool):
    path = tool.write(tool.team.make_bundle())
    code, answer = tool.run_json("key", "grant", path, "north", "till-7")
    assert code == DONE
    assert answer["key"] not in (tool.folder / "bundle.toml").read_text()
    digest = tool.run_json("bundle", "propose", path)[1]["digest"]
    assert tool.run("bundle", "sign", digest, operator="beto").exit_code == DONE
    assert tool.run("bundle", "rollout", path).exit_code == DONE
    assert tool.daemons[0].store.check_key("north", answer["key"]).is_ok()


def test_a_grant_that_cannot_be_stored_prints_no_key(tool):
    """The id is already in use. If the key were printed nevertheless, it would be given
    to a caller and then rejected.
    """
    path = tool.write(tool.team.make_bundle())
    before = (tool.folder / "bundle.toml").read_text()
    result = tool.run("key", "grant", path, "north", NORTH_KEY)
    assert result.exit_code == FAILED
    assert "brk_" not in result.output
    assert (tool.folder / "bundle.toml").read_text() == before


def test_a_private_key_file_is_owner_only_and_never_overwritten(tool):
    """If a second `key make` overwrote the file, the operator would be locked out."""
    path = str(tool.folder / "dora.key")
    code, answer = tool.run_json("key", "make", "--file", path, operator="dora")
    assert (code, answer["operator"]) == (DONE, "dora")
    assert stat.S_IMODE(os.stat(path).st_mode) == 0o600
    private = (tool.folder / "dora.key").read_text()
    assert tool.run("key", "make", "--file", path, operator="dora").exit_code == FAILED
    assert (tool.folder / "dora.key").read_text() == private


# Bundles


def test_the_loser_of_a_race_sees_the_winner_and_the_differences(tool):
    """Another operator's version 2 comes into force before this one's. The error must
    name that version's author and the changes that this bundle would revert.
    """
    tool.roll_out(tool.team.make_bundle())
    north = make_workspace("north", rate=50.0)
    late = tool.write(tool.team.make_bundle(2, workspaces=[north]), "late.toml")
    assert tool.run("bundle", "propose", late).exit_code == DONE
    tool.roll_out(tool.team.make_bundle(2))
    result = tool.run("bundle", "rollout", late)
    assert result.exit_code == COMPARE_FAILED
    assert "version 2 of ana" in result.stderr
    assert "workspaces[north].rate: 100.0 -> 50.0" in result.stderr


def test_the_error_for_a_missing_signature_names_the_next_command(tool):
    """An operator rolls out a bundle that nobody has reviewed. The error names the
    command that another operator has to run, and nothing is in force.
    """
    path = tool.write(tool.team.make_bundle())
    result = tool.run("bundle", "rollout", path)
    assert result.exit_code == FAILED
    assert "bronzerelay bundle sign sha256:" in result.stderr
    assert tool.run("bundle", "show").exit_code == FAILED


def test_an_unavailable_platform_has_its_own_exit_code(tool):
    """The platform is down. Scripts must distinguish that from a refusal, to retry."""
    path = tool.write(tool.team.make_bundle())
    tool.team.platform.server.set_fault(REFUSE)
    code, answer = tool.run_json("bundle", "propose", path)
    assert (code, answer["ran"]) == (PLATFORM_UNAVAILABLE, "not_run")


def test_a_rollout_that_is_not_everywhere_has_its_own_exit_code(tool):
    """One daemon doesn't answer at all. The bundle is in force, but the operator has to
    check that VM.
    """
    gone = str(find_free_address(tool.team.platform.runtime))
    bundle = make_bundle()
    code, answer = tool.run_json(
        "bundle",
        "rollout",
        tool.write(bundle),
        BRONZERELAY_DAEMONS=f"{tool.daemons[0].address},{gone}",
        BRONZERELAY_WAIT_MS=SHORT_MS,
    )
    assert (code, answer["in_force_everywhere"]) == (NOT_EVERYWHERE, False)
    states = {daemon["address"]: daemon["in_force"] for daemon in answer["daemons"]}
    assert states == {tool.daemons[0].address: True, gone: False}


def test_check_lists_every_mistake_at_once(tool):
    bundle = make_bundle(workspaces=[make_workspace("north", rate=-1.0, burst=0.0)])
    path = tool.write(bundle)
    result = tool.run("bundle", "check", path)
    assert result.exit_code == FAILED
    assert "workspaces[0:north].rate" in result.stderr
    assert "workspaces[0:north].burst" in result.stderr
    assert tool.run("bundle", "check", str(tool.folder)).exit_code == FAILED


def test_rollout_history_and_rollback(tool):
    shown = tool.roll_out(tool.team.make_bundle())
    assert "version 1 is in force on 2 of 2 daemons" in shown.stdout
    north = make_workspace("north", rate=50.0)
    second = tool.team.make_bundle(2, workspaces=[north, make_workspace("south")])
    path = tool.write(second)
    code, answer = tool.run_json("bundle", "diff", path)
    assert [one["path"] for one in answer["changes"]] == [
        "version",
        "workspaces[north].rate",
    ]
    tool.roll_out(second)
    waiting = tool.run("bundle", "rollback", "1")
    assert waiting.exit_code == FAILED
    digest = waiting.stderr.partition("bundle sign ")[2].partition("'")[0]
    assert tool.run("bundle", "sign", digest, operator="beto").exit_code == DONE
    assert tool.run("bundle", "rollback", "1").exit_code == DONE
    code, answer = tool.run_json("bundle", "history")
    assert [one["version"] for one in answer["versions"]] == [3, 2, 1]
    text = tool.run("bundle", "show").stdout
    assert "rate = 100.0" in text
    assert {daemon.store.version for daemon in tool.daemons} == {3}


def test_an_author_cannot_add_lines_to_a_shown_bundle(tool):
    """Guards against a file that isn't the bundle whose digest was signed."""
    bundle = make_bundle()
    record = make_record(bundle, "ana\n[[operators]]\nname = 'ana'")
    client = tool.team.platform.make_client()
    assert client.put(CURRENT_KEY, record, 0).is_ok()
    text = tool.run("bundle", "show").stdout
    assert parse_bundle(text).ok == bundle


# The file


def test_edits_preserve_comments_and_invalid_edits_change_nothing(tool):
    path = tool.write(make_bundle())
    file = tool.folder / "bundle.toml"
    text = file.read_text().replace("rate = 100.0", "rate = 100.0  # in May", 1)
    file.write_text(text)
    json_output = ("--output", "json")
    for command in (
        ("workspace", "set-rate", path, "north", "50"),
        ("workspace", "add", path, "west", "--rate", "5", "--burst", "2"),
        ("workspace", "remove", path, "south"),
        ("endpoint", "drain", path, "orders-1"),
        ("endpoint", "remove", path, "orders-3"),
    ):
        result = tool.run(*command, *json_output)
        assert (result.exit_code, json.loads(result.stdout)["rewritten"]) == (0, False)
    assert "rate = 50.0  # in May" in file.read_text()
    before = file.read_text()
    for command in (
        ("workspace", "add", path, "west", "--rate", "-5", "--burst", "2"),
        ("workspace", "remove", path, "south"),
        ("endpoint", "drain", path, "orders-2"),
    ):
        assert tool.run(*command).exit_code == FAILED
    assert file.read_text() == before
    listed = tool.run("endpoint", "list", path).stdout
    assert "orders/orders-1" in listed
    assert "leaving" in listed


# Status, counters, help


def test_status_and_counters_of_all_daemons(tool):
    for daemon, count in zip(tool.daemons, (1, 2), strict=True):
        for _ in range(count):
            daemon.metrics.count_refusal(Code.RATE_EXCEEDED, "north")
            daemon.metrics.count_retry("primary_replaced")
    code, answer = tool.run_json("counters")
    assert (code, answer["silent"]) == (DONE, [])
    assert answer["refusals"] == {"301 rate_exceeded": 3.0}
    assert answer["retries"] == {"primary_replaced": 3.0}
    code, answer = tool.run_json("status")
    assert [one["name"] for one in answer["daemons"]] == ["vm-1", "vm-2"]
    gone = str(find_free_address(tool.team.platform.runtime))
    for command in ("status", "counters"):
        result = tool.run(command, BRONZERELAY_DAEMONS=gone)
        assert result.exit_code == FAILED
        assert gone in result.stdout


def test_a_daemon_with_tls_needs_a_trusted_certificate(tool):
    """An attacker who impersonates a daemon could claim that a leaked key has stopped
    working.
    """
    platform = tool.team.platform
    certificate, key = write_certificate(tool.folder, "vm-3")
    daemon = SmallDaemon(platform, "vm-3", (), tls_certificate=certificate, tls_key=key)
    address = {"BRONZERELAY_DAEMONS": daemon.address}
    trusted = tool.run("status", "--daemon-ca", certificate, **address)
    assert trusted.exit_code == DONE, trusted.output
    (tool.folder / "other").mkdir()
    other, _ = write_certificate(tool.folder / "other", "vm-3")
    for doubted in (("--daemon-ca", other), ()):
        assert tool.run("status", *doubted, **address).exit_code == FAILED


def test_explain_and_completion_and_wrong_usage(tool):
    assert "rate_exceeded" in tool.run("explain", "301").stdout
    assert tool.run("explain", "rate_exceeded").exit_code == DONE
    assert tool.run("explain", "999").exit_code == FAILED
    for shell in ("bash", "zsh", "fish"):
        assert "_BRONZERELAY_COMPLETE" in tool.run("completion", shell).stdout
    wrong = tool.run("bundle", "propose", "x", "--platform", "nonsense")
    assert (wrong.exit_code, "--platform" in wrong.output) == (USAGE, True)
    missing = tool.run("status", BRONZERELAY_DAEMONS="")
    assert (missing.exit_code, "BRONZERELAY_DAEMONS" in missing.output) == (USAGE, True)


@pytest.mark.parametrize("path", list(list_commands()), ids=" ".join)
def test_every_command_has_help_with_examples_and_an_output_format(path):
    result = CliRunner().invoke(main, [*path, "--help"])
    assert result.exit_code == DONE
    assert "Examples:\n  " in result.output
    assert "--output [text|json]" in result.output
