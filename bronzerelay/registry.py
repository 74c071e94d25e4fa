"""The registry of plug-ins: each module registers what it offers."""

from collections.abc import Callable
from typing import Any

# The kinds of plug-in that the kernel asks for.
DIALECT = "dialect"
FRONT = "front"
KEY_VALUE = "key_value"
POLICY = "policy"

_plugins: dict[tuple[str, str], Callable[..., Any]] = {}


def register(kind: str, name: str) -> Callable[[Callable], Callable]:
    """Return a decorator that registers a factory as `name` of this `kind`."""

    def keep(factory: Callable) -> Callable:
        if (kind, name) in _plugins:
            raise ValueError(f"a {kind} named {name!r} is registered already")
        _plugins[(kind, name)] = factory
        return factory

    return keep


def find(kind: str, name: str) -> Callable[..., Any]:
    """Return the factory registered as `name`; raise LookupError with the choices."""
    try:
        return _plugins[(kind, name)]
    except KeyError:
        choices = ", ".join(names(kind)) or "none"
        message = f"no {kind} named {name!r}; there are: {choices}"
        raise LookupError(message) from None


def names(kind: str) -> list[str]:
    """Return the sorted names that are registered for this `kind`."""
    return sorted(name for known, name in _plugins if known == kind)
