"""Set up the log: lines for people or JSON lines, never waited for."""

from __future__ import annotations

import os
import select
import sys
from typing import Any

import msgspec
from loguru import logger

_HUMAN = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[node]} {name}: {message} "
    "{extra[fields]}"
)
_OWN_FIELDS = frozenset(("node", "fields", "json"))
#: Bytes that a pipe which is ready takes at once, by POSIX.
PIECE_BYTES = select.PIPE_BUF


class OutputSink:
    """Write lines to a descriptor; drop and count those that it does not take.

    A reader that falls behind must not hold up calls. loguru calls a sink from one
    thread at a time.
    """

    __slots__ = ("_descriptor", "_poll", "_unfinished", "dropped")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._unfinished = False  # a line was written in part
        self.dropped = 0  # lines since the last one that was written

    def write(self, message: str) -> None:
        """Write a line, or none of it that would have to wait."""
        if self._unfinished and self._write_piece(b"\n"):
            self._unfinished = False
        if self.dropped and not self._unfinished:
            note = msgspec.json.encode({"message": "lines dropped", "n": self.dropped})
            if self._write_piece(note + b"\n"):
                self.dropped = 0
        if self.dropped or self._unfinished:
            self.dropped += 1
            return
        line = message.encode(errors="replace")
        for start in range(0, len(line), PIECE_BYTES):
            if not self._write_piece(line[start : start + PIECE_BYTES]):
                self._unfinished = self._unfinished or start > 0
                self.dropped += 1
                return

    def _write_piece(self, piece: bytes) -> bool:
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            return False
        try:
            written = os.write(self._descriptor, piece)
        except OSError:
            return False  # nobody reads the log any more; the caller counts the line
        if written < len(piece):
            self._unfinished = True
        return written == len(piece)


def set_up_log(form: str, level: str, node: str, path: str) -> None:
    """Write log lines to a file or standard output; raise OSError."""
    target = path or OutputSink(sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={"node": node, "fields": ""}, patcher=_add_fields)
    form_line = _choose_json if form == "json" else _HUMAN
    logger.add(target, level=level, format=form_line, backtrace=False)


def _add_fields(record: Any) -> None:
    extra = record["extra"]
    bound = {name: value for name, value in extra.items() if name not in _OWN_FIELDS}
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


def _choose_json(record: Any) -> str:
    return "{extra[json]}\n"
