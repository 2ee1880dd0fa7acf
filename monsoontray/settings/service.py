"""Service that provides the node's settings and reloads them when they change."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from msgspec import Struct

from monsoontray.kernel.kernel import CrashPolicy, Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.logs import logger
from monsoontray.settings.errors import SettingsError
from monsoontray.settings.settings import load_settings

if TYPE_CHECKING:
    from pathlib import Path

    from monsoontray.settings.settings import Settings

NAME = "settings"
CHECK_INTERVAL_S = 5.0  # the file may change without a SIGHUP, so it is polled


class ReloadSettings(Struct, frozen=True):
    """Request that the settings file is read again."""

    path: Path


class SettingsChanged(Struct, frozen=True):
    """Report changed settings, for services to apply."""

    settings: Settings


class SettingsService(Task):
    """Task that owns the settings; applies a changed file entirely or not at all."""

    def __init__(self, kernel: Kernel, settings: Settings, path: Path | None) -> None:
        super().__init__(NAME, kernel, handle_message)
        self.settings = settings
        self._path = path
        self._modified_at = _read_modification_time(path)
        self._next_check_at = kernel.clock.now() + CHECK_INTERVAL_S

    def find_next_deadline(self) -> float | None:
        """Return when the file is checked next."""
        return self._next_check_at if self._path is not None else None

    def on_deadline(self) -> None:
        """Read the file again if it has changed."""
        self._next_check_at = self.clock.now() + CHECK_INTERVAL_S
        modified_at = _read_modification_time(self._path)
        if modified_at is not None and modified_at != self._modified_at:
            assert self._path is not None
            self.reload(self._path)

    def reload(self, path: Path) -> None:
        """Read the file and apply it; keep the settings in force if it is invalid."""
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
    """Handle a message."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(ReloadSettings)
def _(message: ReloadSettings, service: SettingsService) -> None:
    service.reload(message.path)


def _read_modification_time(path: Path | None) -> float | None:
    """Return when a file was last modified, or None if that is unknown."""
    if path is None:
        return None
    try:
        return path.stat().st_mtime
    except OSError:
        return None


def register_settings(
    kernel: Kernel, settings: Settings, path: Path | None = None
) -> None:
    """Register the service with settings that have been loaded."""

    def build(kernel: Kernel) -> SettingsService:
        return SettingsService(kernel, settings, path)

    kernel.register(Registration(NAME, (), build, CrashPolicy.STOP_NODE))
