"""Error of the command line, and the exit codes."""

from __future__ import annotations

EXIT_OK = 0
EXIT_REFUSED = 1  # the input or the request is invalid
EXIT_USAGE = 2  # the command line is invalid
EXIT_OVERTAKEN = 3  # another operator changed the lists first
EXIT_UNAVAILABLE = 4  # the node or the platform's store is unavailable
EXIT_LATE = 6  # the version is not in force everywhere at the deadline
EXIT_UNKNOWN = 5  # the change may or may not have been accepted


class CommandError(Exception):
    """A command failed: one line of text and an exit code."""

    def __init__(self, message: str, code: int) -> None:
        self.code = code
        super().__init__(message)
