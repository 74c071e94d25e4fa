"""Operators who use the command line, each with their own name and key."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from bronzerelay.bundlefile import write_bundle
from bronzerelay.types import Bundle, OperatorEntry
from standins.cluster import Cluster

COMMAND = (sys.executable, "-m", "bronzerelay.cli")
TIMEOUT_S = 60


class CommandError(Exception):
    """A command ended with an unexpected exit code; the message holds its output."""


class Operator:
    """An operator, who runs commands against a cluster's platform and daemons."""

    def __init__(self, cluster: Cluster, name: str):
        self.name = name
        self._cluster = cluster
        self._key_file = cluster.folder / f"{name}.key"
        made = self.run("key", "make", "--file", str(self._key_file), key=False)
        self.entry = OperatorEntry(name=name, public_key=made["public_key"])

    def run(self, *arguments: str, key: bool = True, code: int = 0) -> dict[str, Any]:
        """Run a command and return its JSON output.

        Raise CommandError on another exit code than `code`.
        """
        cluster = self._cluster
        daemons = [str(address) for address in cluster.daemon_addresses.values()]
        environment = {
            "PYTHONPATH": str(Path.cwd()),
            "BRONZERELAY_PLATFORM": str(cluster.addresses["platform"]),
            "BRONZERELAY_DAEMONS": ",".join(daemons),
            "BRONZERELAY_OPERATOR": self.name,
            "BRONZERELAY_OUTPUT": "json",
        }
        if key:
            environment["BRONZERELAY_OPERATOR_KEY"] = str(self._key_file)
        done = subprocess.run(
            [*COMMAND, *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        if done.returncode != code:
            output = (done.stdout + done.stderr).strip()
            raise CommandError(
                f"{' '.join(arguments)} ended with {done.returncode}: {output}"
            )
        return json.loads(done.stdout) if done.stdout.strip() else {}


def write_bundle_file(cluster: Cluster, bundle: Bundle) -> str:
    """Write `bundle` to a bundle file, and return the file's path."""
    path = cluster.folder / f"bundle-{bundle['version']}.toml"
    path.write_text(write_bundle(bundle))
    return str(path)


def roll_out(author: Operator, second: Operator, path: str) -> dict[str, Any]:
    """Propose the bundle file, let a second operator sign it, and roll it out."""
    proposed = author.run("bundle", "propose", path)
    second.run("bundle", "sign", proposed["digest"])
    return author.run("bundle", "rollout", proposed["digest"])
