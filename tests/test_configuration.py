"""Tests of the configuration in force at one daemon."""

from bronzerelay.codes import Code
from bronzerelay.configuration import ConfigurationStore
from bronzerelay.runtime import Runtime
from tests.builders_config import make_bundle, make_group, make_record, make_workspace


def record_with(version, *keys):
    workspace = make_workspace("shop", *keys, groups=["orders"])
    groups = [make_group("orders", 9001)]
    return make_record(make_bundle(version, groups=groups, workspaces=[workspace]))


def open_store():
    store = ConfigurationStore(Runtime(task_limit=1))
    seen = []
    store.call_on_change(lambda configuration: seen.append(configuration.version))
    return store, seen


def test_a_late_answer_with_an_older_version_changes_nothing():
    """A watch was held up on its way, and its answer comes after that of a later one.
    Taken at its word it would bring a withdrawn key back.
    """
    store, seen = open_store()
    assert store.accept(record_with(2, "new"))
    assert not store.accept(record_with(1, "old"))
    assert not store.accept(record_with(2, "old"))
    assert store.check_key("shop", "new").is_ok()
    assert store.check_key("shop", "old").error.code == Code.KEY_REJECTED
    assert seen == [2]


def test_a_record_whose_digest_is_another_ones_is_not_taken():
    """A record was changed or cut on its way between two daemons."""
    store, seen = open_store()
    record = {**record_with(3, "key"), "digest": record_with(4, "key")["digest"]}
    assert not store.accept(record)
    assert store.version == 0
    assert seen == []


def test_a_key_of_another_workspace_is_refused():
    store, _ = open_store()
    workspaces = [
        make_workspace(name, f"key-of-{name}", groups=["orders"])
        for name in ("shop", "rival")
    ]
    groups = [make_group("orders", 9001)]
    store.accept(make_record(make_bundle(1, groups=groups, workspaces=workspaces)))
    assert store.check_key("shop", "key-of-shop").is_ok()
    assert store.check_key("shop", "key-of-rival").error.code == Code.KEY_REJECTED
    assert store.check_key("shop", "").error.code == Code.KEY_MISSING
    assert store.check_key("nobody", "key-of-shop").error.code == Code.WORKSPACE_UNKNOWN
