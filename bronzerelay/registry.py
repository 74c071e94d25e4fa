"""The registry of plug-ins: modules register factories by kind and name."""

from collections.abc import Callable
from typing import Any

# The kinds of plug-ins.
DIALECT = "dialect"
FRONT = "front"
KEY_VALUE = "key_value"
POLICY = "policy"

_plugins: dict[tuple[str, str], Callable[..., Any]] = {}


def register(kind: str, name: str) -> Callable[[Callable], Callable]:
    """Return a decorator that registers a factory as plug-in `name` of `kind`."""

    def add(factory: Callable) -> Callable:
        if (kind, name) in _plugins:
            raise ValueError(f"a {kind} named {name!r} is registered already")
        _plugins[(kind, name)] = factory
        return factory

    return add


def find(kind: str, name: str) -> Callable[..., Any]:
    """Return the factory of a plug-in; raise LookupError if there is none."""
    try:
        return _plugins[(kind, name)]
    except KeyError:
        choices = ", ".join(names(kind)) or "none"
        message = f"no {kind} named {name!r}; registered: {choices}"
        raise LookupError(message) from None


def names(kind: str) -> list[str]:
    """Return the sorted names of all plug-ins of this `kind`."""
    return sorted(name for plugin_kind, name in _plugins if plugin_kind == kind)
