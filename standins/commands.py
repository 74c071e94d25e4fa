"""Runs the operators' command line as a process, as an operator would."""

import subprocess
import sys

from standins.processes import ROOT

TIMEOUT_S = 20


class CommandError(Exception):
    """A command failed; the message holds what it printed."""


def run_command(*arguments: str) -> str:
    """Return what `bronzerelay ARGUMENTS` printed; raise CommandError if it failed."""
    command = [sys.executable, "-m", "bronzerelay.cli", *arguments]
    shown = "bronzerelay " + " ".join(arguments)
    try:
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=TIMEOUT_S, cwd=ROOT
        )
    except subprocess.TimeoutExpired:
        raise CommandError(f"{shown} didn't end in {TIMEOUT_S} s") from None
    if done.returncode:
        output = done.stdout + done.stderr
        raise CommandError(f"{shown} ended with {done.returncode}:\n{output}")
    return done.stdout
