"""Errors of forwarding."""

from __future__ import annotations

from monsoontray.decisions.outcomes import Reason


class ForwardingError(Exception):
    """Base class of forwarding errors."""


class MalformedMessageError(ForwardingError):
    """A message that is malformed or not supported, with the refusal's reason."""

    def __init__(self, reason: Reason, detail: str) -> None:
        self.reason = reason
        self.detail = detail
        super().__init__(detail)
