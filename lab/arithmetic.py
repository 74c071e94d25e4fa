"""Figures that are computed, each with the arithmetic behind it."""

import math
from typing import Any, NamedTuple


class Factor(NamedTuple):
    """A number in a calculation, with its unit or meaning."""

    value: float
    label: str


class Figure(NamedTuple):
    """A result with its arithmetic; `limit` is None if the requirements set none."""

    what: str
    arithmetic: str
    value: float
    unit: str
    limit: float | None = None

    def is_met(self) -> bool | None:
        """Return whether the result is within the limit, or None if it has no limit."""
        return None if self.limit is None else self.value <= self.limit


def format_number(value: float) -> str:
    """Return `value` with three significant digits, or grouped thousands."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:.{digits}f}"


def format_factor(factor: Factor) -> str:
    """Return the number with its label."""
    return f"{format_number(factor.value)} {factor.label}"


def multiply(
    what: str, unit: str, limit: float | None, *factors: tuple[float, str]
) -> Figure:
    """Return the product of the factors, with the arithmetic."""
    numbers = [Factor(*factor) for factor in factors]
    value = math.prod(factor.value for factor in numbers)
    return Figure(what, " x ".join(map(format_factor, numbers)), value, unit, limit)


def divide(
    what: str,
    unit: str,
    limit: float | None,
    dividend: tuple[float, str],
    *divisors: tuple[float, str],
) -> Figure:
    """Return the dividend divided by all divisors, with the arithmetic."""
    numbers = [Factor(*dividend), *(Factor(*divisor) for divisor in divisors)]
    value = numbers[0].value / math.prod(factor.value for factor in numbers[1:])
    return Figure(what, " / ".join(map(format_factor, numbers)), value, unit, limit)


def add(what: str, unit: str, limit: float | None, *terms: tuple[float, str]) -> Figure:
    """Return the sum of the terms, with the arithmetic."""
    numbers = [Factor(*term) for term in terms]
    value = sum(factor.value for factor in numbers)
    return Figure(what, " + ".join(map(format_factor, numbers)), value, unit, limit)


def find_figure(figures: list[Figure], what: str) -> Figure:
    """Return the figure whose `what` is this text."""
    return next(figure for figure in figures if figure.what == what)


class Slopes:
    """The measured slopes by name, as read from capacity.json."""

    def __init__(self, data: dict[str, Any]):
        self._slopes = data["slopes"]

    def slope(self, name: str) -> float:
        """Return by how much the value grows when the size grows by one."""
        return self._slopes[name]["slope"]

    def value_at(self, name: str, size: float) -> float:
        """Return the value that was measured at `size`."""
        return dict(map(tuple, self._slopes[name]["points"]))[size]

    def value_at_largest(self, name: str) -> float:
        """Return the value that was measured at the largest size."""
        return self._slopes[name]["points"][-1][1]

    def names(self) -> list[str]:
        """Return the names of all slopes."""
        return list(self._slopes)

    def entry(self, name: str) -> dict[str, Any]:
        """Return the whole entry of a slope."""
        return self._slopes[name]
