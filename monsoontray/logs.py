"""Configure logging: human-readable or JSON lines, written without blocking."""

from __future__ import annotations

import os
import select
import sys
from typing import Any

import msgspec
from loguru import logger

_HUMAN_FORMAT = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[node]} {name}: {message} "
    "{extra[fields]}"
)
_RESERVED_FIELDS = frozenset(("node", "fields", "json"))
#: By POSIX, a pipe that is ready accepts this many bytes at once.
CHUNK_BYTES = select.PIPE_BUF


class NonBlockingSink:
    """Sink that writes to a file descriptor; drops and counts lines that would block.

    A slow reader of the log must not delay calls. Needs no lock: loguru calls a sink
    from one thread at a time.
    """

    __slots__ = ("_descriptor", "_partial_line", "_poll", "dropped")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._partial_line = False  # the last line was written only in part
        self.dropped = 0  # lines dropped since the last "lines dropped" message

    def write(self, message: str) -> None:
        """Write as much of a line as the descriptor accepts without blocking."""
        if self._partial_line and self._write_chunk(b"\n"):
            self._partial_line = False
        if self.dropped and not self._partial_line:
            note = msgspec.json.encode({"message": "lines dropped", "n": self.dropped})
            if self._write_chunk(note + b"\n"):
                self.dropped = 0
        if self.dropped or self._partial_line:
            self.dropped += 1
            return
        line = message.encode(errors="replace")
        for start in range(0, len(line), CHUNK_BYTES):
            if not self._write_chunk(line[start : start + CHUNK_BYTES]):
                self._partial_line = self._partial_line or start > 0
                self.dropped += 1
                return

    def _write_chunk(self, chunk: bytes) -> bool:
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            return False
        try:
            written = os.write(self._descriptor, chunk)
        except OSError:
            return False  # the reader has closed the pipe; the caller counts the line
        if written < len(chunk):
            self._partial_line = True
        return written == len(chunk)


def configure_logging(log_format: str, level: str, node: str, path: str) -> None:
    """Write log lines to a file, or to standard output if the path is empty.

    Raise OSError if the file cannot be opened.
    """
    target = path or NonBlockingSink(sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={"node": node, "fields": ""}, patcher=_add_fields)
    line_format = _get_json_format if log_format == "json" else _HUMAN_FORMAT
    logger.add(target, level=level, format=line_format, backtrace=False)


def _add_fields(record: Any) -> None:
    extra = record["extra"]
    bound = {
        name: value for name, value in extra.items() if name not in _RESERVED_FIELDS
    }
    extra["fields"] = " ".join(f"{name}={value}" for name, value in bound.items())
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "node": extra["node"],
        "module": record["name"],
        "message": record["message"],
        **bound,
    }
    error = record["exception"]
    if error is not None:
        line["error"] = repr(error.value)
    extra["json"] = msgspec.json.encode(line).decode()


def _get_json_format(record: Any) -> str:
    return "{extra[json]}\n"
