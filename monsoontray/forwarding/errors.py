"""Errors of forwarding."""

from __future__ import annotations

from monsoontray.decisions.outcomes import Reason


class ForwardingError(Exception):
    """Report a fault while forwarding a call."""


class MalformedMessageError(ForwardingError):
    """Report a message that is not served, with the reason to give."""

    def __init__(self, reason: Reason, detail: str) -> None:
        self.reason = reason
        self.detail = detail
        super().__init__(detail)
