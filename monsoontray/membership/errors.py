"""Errors of the membership package."""

from __future__ import annotations


class MembershipError(Exception):
    """Base class of membership errors."""


class MalformedExchangeError(MembershipError):
    """A message from another node that cannot be decoded."""
