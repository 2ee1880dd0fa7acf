"""Metric families and their text format, as Prometheus reads it."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from functools import singledispatch
from threading import Lock
from typing import Any

_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})
_HELP_ESCAPES = str.maketrans({"\\": r"\\", "\n": r"\n"})


class Registry:
    """Families of one node in the order of their registration."""

    __slots__ = ("families",)

    def __init__(self) -> None:
        self.families: list[Family] = []

    def render(self) -> bytes:
        """Return all families in the text format."""
        lines = [line for each in self.families for line in _render_family(each)]
        return "\n".join([*lines, ""]).encode()


class Value:
    """Number with one combination of label values."""

    __slots__ = ("_lock", "value")

    def __init__(self) -> None:
        self._lock = Lock()
        self.value = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Add one, or an amount."""
        with self._lock:
            self.value += amount

    def set(self, value: float) -> None:
        """Replace the number."""
        self.value = float(value)


class Buckets:
    """Distribution with one combination of label values."""

    __slots__ = ("_bounds", "_lock", "counts", "total")

    def __init__(self, bounds: Sequence[float]) -> None:
        self._bounds = bounds
        self._lock = Lock()
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count a value."""
        with self._lock:
            self.counts[bisect_left(self._bounds, value)] += 1
            self.total += value


class Family:
    """Metric with a name, a description and one child for each combination."""

    __slots__ = ("_label_names", "children", "description", "name")

    def __init__(
        self,
        name: str,
        description: str,
        label_names: Sequence[str] = (),
        *,
        registry: Registry,
    ) -> None:
        self.name = name
        self.description = description
        self._label_names = tuple(label_names)
        self.children: dict[tuple[str, ...], Any] = {}
        registry.families.append(self)
        if not label_names:
            self.labels()

    def labels(self, *values: str) -> Any:
        """Return the child with these label values."""
        child = self.children.get(values)
        if child is None:
            child = self.children.setdefault(values, self.build_child())
        return child

    def build_child(self) -> Any:
        """Return a new child."""
        return Value()

    def format_labels(self, values: tuple[str, ...], *more: str) -> str:
        """Return the labels of a child in braces, or nothing without labels."""
        pairs = sorted(zip(self._label_names, values, strict=True))
        labels = [f'{name}="{value.translate(_ESCAPES)}"' for name, value in pairs]
        labels.extend(more)
        return "{" + ",".join(labels) + "}" if labels else ""


class Counter(Family):
    """Number that only rises."""

    __slots__ = ()

    def inc(self, amount: float = 1.0) -> None:
        """Add one, or an amount, to the child without labels."""
        self.labels().inc(amount)


class Gauge(Family):
    """Number that rises and falls."""

    __slots__ = ()

    def set(self, value: float) -> None:
        """Replace the number of the child without labels."""
        self.labels().set(value)


class Histogram(Family):
    """Distribution over buckets with fixed upper bounds."""

    __slots__ = ("_bounds",)

    def __init__(
        self,
        name: str,
        description: str,
        label_names: Sequence[str] = (),
        *,
        buckets: Sequence[float],
        registry: Registry,
    ) -> None:
        self._bounds = tuple(buckets)
        super().__init__(name, description, label_names, registry=registry)

    def build_child(self) -> Buckets:
        """Return a new distribution."""
        return Buckets(self._bounds)

    def get_bounds(self) -> tuple[str, ...]:
        """Return the upper bounds as label values."""
        return (*map(_format_number, self._bounds), "+Inf")


def _render_family(family: Family) -> Iterable[str]:
    kind, name = _describe(family)
    yield f"# HELP {name} {family.description.translate(_HELP_ESCAPES)}"
    yield f"# TYPE {name} {kind}"
    for values, child in sorted(family.children.items()):
        yield from _render_child(family, name, values, child)


@singledispatch
def _describe(family: Family) -> tuple[str, str]:
    """Return the type of a family and the name of its samples."""
    raise TypeError(f"unsupported family: {family!r}")


@_describe.register(Counter)
def _(family: Counter) -> tuple[str, str]:
    return "counter", f"{family.name}_total"


@_describe.register(Gauge)
def _(family: Gauge) -> tuple[str, str]:
    return "gauge", family.name


@_describe.register(Histogram)
def _(family: Histogram) -> tuple[str, str]:
    return "histogram", family.name


@singledispatch
def _render_child(
    family: Any, name: str, values: tuple[str, ...], child: Any
) -> Iterable[str]:
    labels = family.format_labels(values)
    yield f"{name}{labels} {_format_number(child.value)}"


@_render_child.register(Histogram)
def _(
    family: Histogram, name: str, values: tuple[str, ...], child: Buckets
) -> Iterable[str]:
    count = 0
    for bound, added in zip(family.get_bounds(), child.counts, strict=True):
        count += added
        labels = family.format_labels(values, f'le="{bound}"')
        yield f"{name}_bucket{labels} {float(count)}"
    labels = family.format_labels(values)
    yield f"{name}_count{labels} {float(count)}"
    yield f"{name}_sum{labels} {_format_number(child.total)}"


def _format_number(value: float) -> str:
    return repr(float(value))
