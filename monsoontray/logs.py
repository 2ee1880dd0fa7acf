"""Structured logging: human-readable or JSON lines, written without blocking."""

from __future__ import annotations

import os
import select
import sys
import threading
from datetime import datetime
from traceback import format_exception
from typing import Any, Protocol

import msgspec
from msgspec import Struct

#: By POSIX, a pipe that is ready accepts this many bytes at once.
CHUNK_BYTES = select.PIPE_BUF
DEBUG, INFO, WARNING, ERROR = "DEBUG", "INFO", "WARNING", "ERROR"
_SEVERITY = {DEBUG: 10, INFO: 20, WARNING: 30, ERROR: 40}


class LogLine(Struct, frozen=True):
    """Content of one line of the log."""

    time: datetime
    level: str
    module: str
    message: str
    fields: dict[str, Any]
    exception: BaseException | None


class Formatter(Protocol):
    """Encoding of log lines."""

    def format(self, line: LogLine) -> str:
        """Return the encoded line without its end."""


class Sink(Protocol):
    """Destination of log lines."""

    def write(self, message: str) -> object:
        """Write a line with its end."""


class JsonFormatter:
    """Formatter of JSON lines."""

    __slots__ = ("_node",)

    def __init__(self, node: str) -> None:
        self._node = node

    def format(self, line: LogLine) -> str:
        """Return a line as a JSON object."""
        document = {
            "time": line.time.isoformat(),
            "level": line.level,
            "node": self._node,
            "module": line.module,
            "message": line.message,
            **line.fields,
        }
        if line.exception is not None:
            document["error"] = repr(line.exception)
        return msgspec.json.encode(document).decode()


class TextFormatter:
    """Formatter of lines for human readers."""

    __slots__ = ("_node",)

    def __init__(self, node: str) -> None:
        self._node = node

    def format(self, line: LogLine) -> str:
        """Return a line as text, with the traceback of its exception."""
        time = line.time.replace(tzinfo=None).isoformat(" ", "milliseconds")
        parts = [f"{time} {line.level: <7} {self._node} {line.module}:", line.message]
        parts += [f"{name}={value}" for name, value in line.fields.items()]
        text = " ".join(parts)
        if line.exception is not None:
            text += "\n" + "".join(format_exception(line.exception)).rstrip()
        return text


class NonBlockingSink:
    """Sink that writes to a file descriptor; drops and counts lines that would block.

    A slow reader of the log must not delay calls. Needs no lock: the output calls it
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


class LogOutput:
    """Where and how lines are written, from which severity on."""

    __slots__ = ("_formatter", "_lock", "_severity", "_sink")

    def __init__(self, formatter: Formatter, sink: Sink, level: str) -> None:
        self._formatter = formatter
        self._sink = sink
        self._severity = _SEVERITY[level]
        self._lock = threading.Lock()

    def accepts(self, level: str) -> bool:
        """Return whether lines of a level are written."""
        return _SEVERITY[level] >= self._severity

    def write(self, line: LogLine) -> None:
        """Write a line."""
        text = self._formatter.format(line) + "\n"
        with self._lock:
            self._sink.write(text)


class FieldsLogger:
    """Logger whose lines carry fields beside the message."""

    __slots__ = ("_fields",)

    #: Output of all loggers.
    output = LogOutput(TextFormatter("-"), sys.stderr, WARNING)

    def __init__(self, fields: dict[str, Any] | None = None) -> None:
        self._fields = fields or {}

    def bind(self, **fields: Any) -> FieldsLogger:
        """Return a logger whose lines also carry these fields."""
        return FieldsLogger({**self._fields, **fields})

    def debug(self, message: str, *values: object) -> None:
        """Log a message, in whose braces the values are inserted."""
        self._log(DEBUG, message, values)

    def info(self, message: str, *values: object) -> None:
        """Log a message, in whose braces the values are inserted."""
        self._log(INFO, message, values)

    def warning(self, message: str, *values: object) -> None:
        """Log a message, in whose braces the values are inserted."""
        self._log(WARNING, message, values)

    def error(
        self, message: str, *values: object, exception: BaseException | None = None
    ) -> None:
        """Log a message and, if given, the exception that caused it."""
        self._log(ERROR, message, values, exception)

    def _log(
        self,
        level: str,
        message: str,
        values: tuple[object, ...],
        exception: BaseException | None = None,
    ) -> None:
        output = FieldsLogger.output
        if not output.accepts(level):
            return
        # Two frames up is the module that logs.
        module = sys._getframe(2).f_globals["__name__"]
        text = message.format(*values) if values else message
        now = datetime.now().astimezone()
        output.write(LogLine(now, level, module, text, self._fields, exception))


logger = FieldsLogger()


def configure_logging(log_format: str, level: str, node: str, path: str) -> None:
    """Write log lines to a file, or to standard output if the path is empty.

    Raise OSError if the file cannot be opened.
    """
    flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
    descriptor = os.open(path, flags, 0o644) if path else sys.stdout.fileno()
    formatter = JsonFormatter(node) if log_format == "json" else TextFormatter(node)
    sink = NonBlockingSink(descriptor)
    FieldsLogger.output = LogOutput(formatter, sink, level)
