"""Offer the node's settings to other services, and read them again."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from loguru import logger

from monsoontray.kernel.kernel import CrashPolicy, Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.settings.errors import SettingsError
from monsoontray.settings.settings import load_settings

if TYPE_CHECKING:
    from pathlib import Path

    from monsoontray.settings.settings import Settings

NAME = "settings"
CHECK_INTERVAL_S = 5.0  # time between two looks at the file, which may change untold


@dataclass(slots=True, frozen=True)
class ReloadSettings:
    """Ask for the settings file to be read again."""

    path: Path


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """Tell that settings which services may take over have changed."""

    settings: Settings


class SettingsService(Task):
    """Own the settings in force; takes over a changed file whole or not at all."""

    def __init__(self, kernel: Kernel, settings: Settings, path: Path | None) -> None:
        super().__init__(NAME, kernel, handle_message)
        self.settings = settings
        self._path = path
        self._modified_at = _read_modification_time(path)
        self._next_check_at = kernel.clock.now() + CHECK_INTERVAL_S

    def find_next_deadline(self) -> float | None:
        """Return when the file is looked at next."""
        return self._next_check_at if self._path is not None else None

    def on_deadline(self) -> None:
        """Read the file again if it has changed."""
        self._next_check_at = self.clock.now() + CHECK_INTERVAL_S
        modified_at = _read_modification_time(self._path)
        if modified_at is not None and modified_at != self._modified_at:
            assert self._path is not None
            self.reload(self._path)

    def reload(self, path: Path) -> None:
        """Read the file and take it over, or keep what is in force."""
        self._modified_at = _read_modification_time(path)
        try:
            settings = load_settings(path)
        except SettingsError as error:
            logger.error("changed settings refused, those in force stay: {}", error)
            return
        before, after = self.settings.get_values(), settings.get_values()
        changed = sorted(name for name in after if after[name] != before[name])
        logger.bind(changed=changed).info("settings read again")
        if changed:
            self.settings = settings
            self.kernel.post("forwarding", SettingsChanged(settings))


@singledispatch
def handle_message(message: Any, service: SettingsService) -> None:
    """Act on a message."""
    raise TypeError(f"no such message: {message!r}")


@handle_message.register(ReloadSettings)
def _(message: ReloadSettings, service: SettingsService) -> None:
    service.reload(message.path)


def _read_modification_time(path: Path | None) -> float | None:
    """Return when a file was changed last; None while it can't be told."""
    if path is None:
        return None
    try:
        return path.stat().st_mtime
    except OSError:
        return None


def register_settings(
    kernel: Kernel, settings: Settings, path: Path | None = None
) -> None:
    """Register the service over settings that were loaded."""

    def build(kernel: Kernel) -> SettingsService:
        return SettingsService(kernel, settings, path)

    kernel.register(Registration(NAME, (), build, CrashPolicy.STOP_NODE))
