"""Errors in what other parties write."""

from __future__ import annotations


class DecodingError(ValueError):
    """A document of another party can't be decoded or has a value out of range."""
