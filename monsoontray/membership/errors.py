"""Errors of membership."""

from __future__ import annotations


class MembershipError(Exception):
    """Report a fault in what nodes tell each other."""


class MalformedExchangeError(MembershipError):
    """Report a message between nodes that can't be read."""
