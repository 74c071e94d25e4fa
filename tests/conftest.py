"""Fixtures that several test modules use: a runtime and a group of endpoints."""

import os
from pathlib import Path

import pytest
from hypothesis import settings

from tests.endpoints import Group, open_runtime

# The number of fresh examples of each property; without it the examples are fixed, so
# that two runs on the same code give the same verdict.
FRESH_EXAMPLES = "BRONZERELAY_FRESH_EXAMPLES"

settings.register_profile("fixed", derandomize=True)
if FRESH_EXAMPLES in os.environ:
    settings.register_profile("fresh", max_examples=int(os.environ[FRESH_EXAMPLES]))
settings.load_profile("fresh" if FRESH_EXAMPLES in os.environ else "fixed")


@pytest.fixture
def runtime():
    with open_runtime(200) as runtime:
        yield runtime


@pytest.fixture
def group(runtime):
    group = Group(runtime)
    yield group
    for server in group.servers.values():
        server.stop()


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red():
    """Return the entries of KNOWN-RED.txt, by the id of their test."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    return {line.split(" | ")[0]: line for line in lines if line}


def pytest_collection_modifyitems(items):
    """Mark the listed tests, and no others, as expected failures."""
    known = read_known_red()
    for item in items:
        line = known.get(item.nodeid.partition("[")[0])
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the tests whose failures are ignored."""
    for line in read_known_red().values():
        terminalreporter.write_line(f"KNOWN-RED: {line}")
