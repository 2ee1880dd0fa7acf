"""The service that creates store clients for tasks."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.logs import logger
from monsoontray.platform.store import PlatformStoreClient
from monsoontray.store.positions import PositionedStoreClient

if TYPE_CHECKING:
    from monsoontray.metrics.service import Metrics
    from monsoontray.settings.settings import Settings
    from monsoontray.store.client import StoreClient

NAME = "store"


class StoreService:
    """Factory of store clients; each belongs to the task that opened it."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._metrics: Metrics = kernel.find("metrics")
        self._settings: Settings = kernel.find("settings").settings

    def open_client(self, reason: str, max_timeout_s: float = math.inf) -> StoreClient:
        """Return a new client for the calling task, whose calls have a reason."""
        endpoints = self._settings.get_strings("store_endpoints")
        timeout_s = min(self._settings.get_seconds("store_timeout_ms"), max_timeout_s)
        count_call = partial(self._metrics.count_store_call, reason)
        client = PlatformStoreClient(
            endpoints, timeout_s, self._kernel.clock, count_call
        )
        return PositionedStoreClient(client)

    def start(self) -> None:
        """Do nothing: clients connect when first used."""

    def stop(self, deadline: float) -> None:
        """Log the calls of this process; tasks close their own clients."""
        logger.bind(calls=self._metrics.get_store_calls()).info("calls to the store")

    def post(self, message: object) -> None:
        """Raise TypeError: the service accepts no messages."""
        raise TypeError(f"the store service accepts no messages: {message!r}")


def setup(kernel: Kernel) -> None:
    """Register the service."""
    kernel.register(Registration(NAME, ("settings", "metrics"), StoreService))
