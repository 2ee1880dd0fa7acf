"""The service that creates store clients for tasks."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.platform.store import PlatformStoreClient
from monsoontray.store.positions import PositionedStoreClient

if TYPE_CHECKING:
    from monsoontray.settings.settings import Settings
    from monsoontray.store.client import StoreClient

NAME = "store"


class StoreService:
    """Factory of store clients; each belongs to the task that opened it."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings: Settings = kernel.find("settings").settings

    def open_client(self, max_timeout_s: float = math.inf) -> StoreClient:
        """Return a new client for the calling task."""
        endpoints = self._settings.get_strings("store_endpoints")
        timeout_s = min(self._settings.get_seconds("store_timeout_ms"), max_timeout_s)
        client = PlatformStoreClient(endpoints, timeout_s, self._kernel.clock)
        return PositionedStoreClient(client)

    def start(self) -> None:
        """Do nothing: clients connect when first used."""

    def stop(self, deadline: float) -> None:
        """Do nothing: tasks close their own clients."""

    def post(self, message: object) -> None:
        """Raise TypeError: the service accepts no messages."""
        raise TypeError(f"the store service accepts no messages: {message!r}")


def setup(kernel: Kernel) -> None:
    """Register the service."""
    kernel.register(Registration(NAME, ("settings",), StoreService))
