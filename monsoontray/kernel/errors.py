"""Errors of the kernel."""

from __future__ import annotations


class KernelError(Exception):
    """Base class of the kernel's errors."""


class UnknownServiceError(KernelError):
    """No service is registered under a name."""

    def __init__(self, name: str) -> None:
        super().__init__(f"no service is registered under the name {name!r}")


class DuplicateServiceError(KernelError):
    """A service name is already registered."""

    def __init__(self, name: str) -> None:
        super().__init__(f"service {name!r} is already registered")


class ReplyTimeoutError(KernelError):
    """No reply arrived before the deadline of a request."""
