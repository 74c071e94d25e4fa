"""Fixtures that several test modules use: a runtime and a group of endpoints."""

import pytest

from tests.endpoints import Group, open_runtime


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
