"""Figures that are worked out, each with the arithmetic that gives it."""

import math
from typing import Any, NamedTuple


class Factor(NamedTuple):
    """A number of an arithmetic, and what it is."""

    value: float
    label: str


class Figure(NamedTuple):
    """A result with its arithmetic; `limit` is None where the letter sets none."""

    what: str
    arithmetic: str
    value: float
    unit: str
    limit: float | None = None

    def is_met(self) -> bool | None:
        """Return whether the result is within the limit; None without one."""
        return None if self.limit is None else self.value <= self.limit


def show_number(value: float) -> str:
    """Return `value` with three significant digits, thousands set apart."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:.{digits}f}"


def show_factor(factor: Factor) -> str:
    """Return the number with its label."""
    return f"{show_number(factor.value)} {factor.label}"


def multiply(
    what: str, unit: str, limit: float | None, *factors: tuple[float, str]
) -> Figure:
    """Return the product of the factors, written out; see `divide` for a quotient."""
    parts = [Factor(*factor) for factor in factors]
    value = math.prod(factor.value for factor in parts)
    return Figure(what, " x ".join(map(show_factor, parts)), value, unit, limit)


def divide(
    what: str,
    unit: str,
    limit: float | None,
    dividend: tuple[float, str],
    *divisors: tuple[float, str],
) -> Figure:
    """Return the first number divided by the others, written out."""
    parts = [Factor(*dividend), *(Factor(*divisor) for divisor in divisors)]
    value = parts[0].value / math.prod(factor.value for factor in parts[1:])
    return Figure(what, " / ".join(map(show_factor, parts)), value, unit, limit)


def add(what: str, unit: str, limit: float | None, *terms: tuple[float, str]) -> Figure:
    """Return the sum of the terms, written out."""
    parts = [Factor(*term) for term in terms]
    value = sum(factor.value for factor in parts)
    return Figure(what, " + ".join(map(show_factor, parts)), value, unit, limit)


def pick(figures: list[Figure], what: str) -> Figure:
    """Return the figure of that name."""
    return next(figure for figure in figures if figure.what == what)


class Slopes:
    """The measured slopes by name, as capacity.json holds them."""

    def __init__(self, data: dict[str, Any]):
        self._slopes = data["slopes"]

    def slope(self, name: str) -> float:
        """Return how much one more of the size adds."""
        return self._slopes[name]["slope"]

    def at(self, name: str, size: float) -> float:
        """Return the value that was measured at `size`."""
        return dict(map(tuple, self._slopes[name]["points"]))[size]

    def last(self, name: str) -> float:
        """Return the value measured at the greatest size."""
        return self._slopes[name]["points"][-1][1]

    def names(self) -> list[str]:
        """Return the names of all slopes."""
        return list(self._slopes)

    def entry(self, name: str) -> dict[str, Any]:
        """Return all that is kept of a slope."""
        return self._slopes[name]
