"""Tests of the configuration in force at a daemon."""

from bronzerelay.codes import Code
from bronzerelay.configuration import ConfigurationStore
from bronzerelay.runtime import Runtime
from tests.builders_config import make_bundle, make_group, make_record, make_workspace


def make_shop_record(version, *keys):
    workspace = make_workspace("shop", *keys, groups=["orders"])
    groups = [make_group("orders", 9001)]
    return make_record(make_bundle(version, groups=groups, workspaces=[workspace]))


def open_store():
    store = ConfigurationStore(Runtime(task_limit=1))
    versions = []
    store.call_on_change(lambda configuration: versions.append(configuration.version))
    return store, versions


def test_a_late_answer_with_an_older_version_changes_nothing():
    """Guards against a withdrawn key that works again: the delayed answer to an old
    watch arrives after that to a newer one.
    """
    store, versions = open_store()
    assert store.accept(make_shop_record(2, "new"))
    assert not store.accept(make_shop_record(1, "old"))
    assert not store.accept(make_shop_record(2, "old"))
    assert store.check_key("shop", "new").is_ok()
    assert store.check_key("shop", "old").error.code == Code.KEY_REJECTED
    assert versions == [2]


def test_a_record_with_a_wrong_digest_is_not_accepted():
    """Guards against a record that was changed or truncated between two daemons."""
    store, versions = open_store()
    record = {
        **make_shop_record(3, "key"),
        "digest": make_shop_record(4, "key")["digest"],
    }
    assert not store.accept(record)
    assert store.version == 0
    assert versions == []


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
