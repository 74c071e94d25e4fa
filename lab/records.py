"""Measurements of the configuration, and of the accounts of workspaces."""

import msgspec

from bronzerelay.bundle import digest_bundle
from bronzerelay.configuration import ConfigurationStore
from bronzerelay.policies import DEFAULT, make_policy
from bronzerelay.runtime import Runtime
from bronzerelay.shares import Shares
from lab.layouts import build_record, build_workspace_specs
from lab.measure import cpu_us_per_call, held_kb, own_cpu_ms
from lab.members import OWN_NAME, name_members

ACCOUNT_MEMBERS = 100
SPLIT_ACCOUNTS = 100


def accept_record(data: bytes) -> ConfigurationStore:
    """Return a store that has accepted the record in `data`."""
    store = ConfigurationStore(Runtime(task_limit=1, seed=1))
    if not store.accept(msgspec.json.decode(data)):
        raise ValueError("the record was not accepted")
    return store


def measure_bundle(size: int) -> dict[str, float]:
    """Return what a configuration of `size` groups costs a daemon that accepts it."""
    data = msgspec.json.encode(build_record(size))
    bundle = msgspec.json.decode(data)["bundle"]
    return {
        "bytes": len(data),
        "accept_ms": cpu_us_per_call(lambda: accept_record(data)) / 1000,
        "digest_ms": cpu_us_per_call(lambda: digest_bundle(bundle)) / 1000,
        "memory_kb": held_kb(lambda: accept_record(data)),
    }


def measure_accounts(size: int) -> dict[str, float]:
    """Return the memory of the accounts of `size` workspaces."""
    specs = build_workspace_specs(size)
    members = name_members(ACCOUNT_MEMBERS)

    def build() -> Shares:
        shares = Shares(
            Runtime(task_limit=1, seed=1),
            OWN_NAME,
            lambda *_: None,
            make_policy(DEFAULT),
        )
        shares.set_members(members, confirmed=True)
        shares.set_workspaces(specs)
        shares.confirm_workspaces()
        return shares

    return {"memory_kb": held_kb(build)}


def measure_splits(size: int) -> dict[str, float]:
    """Return the time to split the rate of one account among `size` members."""
    runtime = Runtime(task_limit=1, seed=1)
    shares = Shares(runtime, OWN_NAME, lambda *_: None, make_policy(DEFAULT))
    shares.set_workspaces(build_workspace_specs(SPLIT_ACCOUNTS))
    shares.confirm_workspaces()
    members = name_members(size)
    started_cpu_ms = own_cpu_ms()
    shares.set_members(members, confirmed=True)
    return {"us": (own_cpu_ms() - started_cpu_ms) * 1000 / SPLIT_ACCOUNTS}


def measure_spending(size: int) -> dict[str, float]:
    """Return the time to spend a token at a daemon that has `size` accounts."""
    runtime = Runtime(task_limit=1, seed=1)
    shares = Shares(runtime, OWN_NAME, lambda *_: None, make_policy(DEFAULT))
    shares.set_members([OWN_NAME], confirmed=True)
    specs = [spec._replace(rate=1e6, burst=1e6) for spec in build_workspace_specs(size)]
    shares.set_workspaces(specs)
    shares.confirm_workspaces()
    while not shares.spend(specs[0].name).is_ok():
        runtime.sleep_ms(20)
    return {"us": cpu_us_per_call(lambda: shares.spend(specs[0].name))}
