"""Errors of the settings."""

from __future__ import annotations


class SettingsError(Exception):
    """Report settings that can't be used, naming key and value."""
