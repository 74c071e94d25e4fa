"""Tests of the registry of plug-ins."""

import pytest

from bronzerelay import registry


def test_an_unknown_plugin_is_named_with_the_choices():
    with pytest.raises(LookupError, match="no dialect named 'nothing'"):
        registry.find(registry.DIALECT, "nothing")


def test_a_second_plugin_of_one_name_is_refused():
    registry.register("trial", "one")(dict)
    assert registry.find("trial", "one") is dict
    with pytest.raises(ValueError, match="registered already"):
        registry.register("trial", "one")(list)
