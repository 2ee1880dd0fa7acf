"""Offer the node's settings to other services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from monsoontray.kernel.kernel import Kernel, Registration

if TYPE_CHECKING:
    from monsoontray.settings.settings import Settings

NAME = "settings"


class SettingsService:
    """Hold the settings, which do not change while the node runs."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings

    def start(self) -> None:
        """Do nothing; the settings were checked before."""

    def stop(self, deadline: float) -> None:
        """Do nothing."""

    def post(self, message: object) -> None:
        """Reject messages; the service takes none."""
        raise TypeError(f"the settings service takes no messages: {message!r}")


def register_settings(kernel: Kernel, settings: Settings) -> None:
    """Register the service over settings that were loaded."""
    registration = Registration(NAME, (), lambda kernel: SettingsService(settings))
    kernel.register(registration)
