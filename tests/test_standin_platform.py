"""Tests of the platform stand-in over plain HTTP, failures first."""

import contextlib
import os
import signal
import subprocess
import sys

import msgspec
import pytest
import urllib3

from bronzerelay.runtime import Address, Runtime
from standins.platform import DOWN
from tests.builders_platform import run_platform


class Caller:
    """Sends plain requests and returns status and decoded body."""

    def __init__(self, runtime, address, name="vm-1"):
        self._pool = runtime.open_http_pool(address, 2)
        self._headers = {"X-Caller": name}

    def ask(self, method, path, body=None, timeout=5):
        data = None if body is None else msgspec.json.encode(body)
        answer = self._pool.urlopen(
            method, path, body=data, headers=self._headers, timeout=timeout
        )
        return answer.status, msgspec.json.decode(answer.data or b"null")


@pytest.fixture
def platform():
    with run_platform() as running:
        yield running


@pytest.fixture
def caller(platform):
    return Caller(platform.runtime, platform.server.address)


def put(value, expected, **more):
    return {"value": value, "expected_revision": expected, **more}


def test_an_encoded_slash_separates_no_parts_of_a_path(caller):
    """Guards against a stand-in that hides a client's mistake in quoting names."""
    _, lease = caller.ask("POST", "/v1/leases", {"ttl_ms": 5000})
    path = f"/v1/leases/{lease['lease']}"
    assert caller.ask("POST", f"{path}%2Frenew")[0] == 404
    assert caller.ask("GET", "/v1%2Fvms")[0] == 404
    assert caller.ask("GET", "/admin%2Fcalls")[0] == 404
    assert caller.ask("POST", f"{path}/renew")[0] == 200
    assert caller.ask("PUT", "/v1/values/a%2Fb", put(1, 0))[0] == 200
    assert caller.ask("GET", "/v1/values/a/b")[1]["value"] == 1


def test_down_has_no_effect_and_gives_no_answer(platform, caller):
    """The platform is down for one caller, whose write times out, while another caller
    is served. The write that timed out must not take effect after the outage.
    """
    platform.server.set_fault(DOWN, callers=("vm-1",))
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        caller.ask("PUT", "/v1/values/roster", put(1, 0), timeout=0.1)
    other = Caller(platform.runtime, platform.server.address, "vm-2")
    assert other.ask("PUT", "/v1/values/roster", put(2, 0)) == (200, {"revision": 1})
    other.ask("POST", "/admin/faults", {"mode": "up"})
    assert caller.ask("GET", "/v1/values/roster")[1]["value"] == 2


def test_a_watch_that_is_waiting_when_an_outage_begins_gets_no_answer(platform, caller):
    """A value changes during an outage. If a watch that began before the outage still
    returned the change, a test of the outage would test nothing.
    """
    caller.ask("PUT", "/v1/values/roster", put(1, 0))
    path = "/v1/values/roster?after=1&wait_ms=9000"
    watch = platform.runtime.start(caller.ask, "GET", path, None, 0.3)
    while not platform.server.count_calls()["watches"]:
        platform.runtime.sleep_ms(5)
    platform.server.set_fault(DOWN)
    platform.server.store.put("roster", 2, 1)
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        watch.result(10)


def test_an_outage_keeps_no_tasks_of_disconnected_callers(platform, caller):
    """Callers time out and retry during an outage. If each call left a task that waits
    for the end of the outage, the task limit would be reached and later calls fail.
    """
    platform.server.set_fault(DOWN)
    for _ in range(10):
        with contextlib.suppress(urllib3.exceptions.ReadTimeoutError):
            caller.ask("GET", "/v1/values/roster", timeout=0.02)
    for _ in range(1000):
        if platform.runtime.running_tasks() == 1:
            break
        platform.runtime.sleep_ms(5)
    assert platform.runtime.running_tasks() == 1


def test_a_revision_is_never_used_twice(caller):
    """A key is deleted and created again. If it got its old revision again, a daemon
    that holds the old value would not notice the new one.
    """
    assert caller.ask("PUT", "/v1/values/k", put("a", 0)) == (200, {"revision": 1})
    assert caller.ask("DELETE", "/v1/values/k?expected_revision=1")[0] == 200
    assert caller.ask("PUT", "/v1/values/k", put("a", 0))[1]["revision"] > 1
    assert caller.ask("PUT", "/v1/values/k", put("b", 1))[0] == 409


def test_the_vm_list_lags():
    """A VM is gone, but the list shows it until the lag has passed."""
    with run_platform(vm_lag_ms=100) as platform:
        platform.server.store.set_vm("vm-1", "live")
        caller = Caller(platform.runtime, platform.server.address)
        assert caller.ask("GET", "/v1/vms")[1] == {"revision": 0, "vms": []}
        expected = {"revision": 1, "vms": [{"name": "vm-1", "state": "live"}]}
        while caller.ask("GET", "/v1/vms")[1] != expected:
            platform.runtime.sleep_ms(5)
        body = {"name": "vm-1", "state": "gone"}
        assert caller.ask("POST", "/admin/vms", body)[0] == 200
        while caller.ask("GET", "/v1/vms")[1]["vms"]:
            platform.runtime.sleep_ms(5)


def test_calls_are_counted_by_kind_and_caller(caller):
    caller.ask("GET", "/v1/vms")
    caller.ask("PUT", "/v1/values/k", put("a", 0))
    caller.ask("GET", "/v1/values/k?after=0&wait_ms=5")
    counts = {"reads": 1, "writes": 1, "watches": 1, "by_caller": {"vm-1": 3}}
    assert caller.ask("GET", "/admin/calls") == (200, counts)


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/v1/nothing", None, 404),
        ("POST", "/v1/leases/lease-1/end", {}, 404),
        ("PUT", "/v1/values/k", {"value": 1}, 400),
        ("PUT", "/v1/values/k", put("x" * 2**20, 0), 413),
        ("GET", "/v1/values/k?wait_ms=soon", None, 400),
        ("DELETE", "/v1/values/k", None, 400),
        ("DELETE", "/v1/values/k?expected_revision=0", None, 409),
        ("POST", "/admin/faults", {"mode": "away"}, 400),
    ],
)
def test_an_invalid_request_gets_its_status(caller, method, path, body, status):
    assert caller.ask(method, path, body)[0] == status


def test_the_program_serves_and_ends_on_sigterm():
    command = [sys.executable, "-m", "standins.platform", "--listen", "127.0.0.1:0"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        address = process.stdout.readline().rpartition(" ")[2].strip()
        host, _, port = address.rpartition(":")
        runtime = Runtime(task_limit=1)
        caller = Caller(runtime, Address(host, int(port)))
        assert caller.ask("GET", "/v1/vms")[0] == 200
        os.kill(process.pid, signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
