"""Sizes of the answers of routes, which a call to another zone brings back."""

from __future__ import annotations

from collections.abc import Collection

MEAN_WEIGHT = 0.05  # of the latest answer in the moving average


class AnswerSizes:
    """Mean sizes of the bodies of the routes' answers."""

    __slots__ = ("_means", "weight")

    def __init__(self, weight: float = 0.0) -> None:
        self.weight = weight  # of a byte of an answer beside one of a request
        self._means: dict[str, float] = {}

    def record(self, route: str, size: int) -> None:
        """Add the bytes of an answer's body to the mean of its route."""
        mean = self._means.get(route, float(size))
        self._means[route] = mean + (size - mean) * MEAN_WEIGHT

    def add_to(self, request_bytes: int, route: str) -> int:
        """Return the bytes of a call's request and of its expected answer."""
        return request_bytes + round(self.weight * self._means.get(route, 0.0))

    def remove_except(self, routes: Collection[str]) -> None:
        """Remove the routes that are not listed."""
        for route in self._means.keys() - routes:
            del self._means[route]
