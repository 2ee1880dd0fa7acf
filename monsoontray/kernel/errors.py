"""Errors of the kernel."""

from __future__ import annotations


class KernelError(Exception):
    """Report a fault in how services are registered or started."""


class UnknownServiceError(KernelError):
    """Report a service name that nothing registered."""

    def __init__(self, name: str) -> None:
        super().__init__(f"no service is registered under the name {name!r}")


class DuplicateServiceError(KernelError):
    """Report a service name that is registered twice."""

    def __init__(self, name: str) -> None:
        super().__init__(f"service {name!r} is registered twice")


class ReplyTimeoutError(KernelError):
    """Report a question whose deadline passed without a reply."""
