"""Errors of the command line, each with its exit code."""

from __future__ import annotations

EXIT_OK = 0
EXIT_REFUSED = 1  # what was asked for is invalid
EXIT_USAGE = 2  # the command line itself is wrong
EXIT_OVERTAKEN = 3  # somebody else changed it first
EXIT_UNAVAILABLE = 4  # the node or the platform's service did not serve
EXIT_LATE = 6  # a version is not in force everywhere by the deadline
EXIT_UNKNOWN = 5  # the change may have been accepted or not


class CommandError(Exception):
    """End a command with one line and an exit code."""

    def __init__(self, message: str, code: int) -> None:
        self.code = code
        super().__init__(message)
