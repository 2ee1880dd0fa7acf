"""Error in the settings."""

from __future__ import annotations


class SettingsError(Exception):
    """Settings are invalid; the message names the setting and its value."""
