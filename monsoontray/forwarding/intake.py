"""Requests of a connection that were received and not handled yet."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from monsoontray.forwarding.framing import HEADER_COST
from monsoontray.forwarding.heads import RequestHead

if TYPE_CHECKING:
    from monsoontray.forwarding.parsing import RequestEvent, RequestParser

#: Bytes that are parsed at once: small requests take many times their bytes, so those
#: that have to wait stay unparsed.
SLICE_BYTES = 4_096
#: Memory that an event takes which waits, beside the headers and the body in it.
EVENT_COST = 512
#: Most memory that a byte of a head takes: the shortest line has four.
MAX_EXPANSION = HEADER_COST // 4


class Intake:
    """Received bytes, parsed only as far as their requests can be handled."""

    __slots__ = ("_begin", "_data", "_parser", "events")

    def __init__(self, parser: RequestParser) -> None:
        self._parser: RequestParser | None = parser
        self._data = b""
        self._begin = 0  # of what is not parsed yet
        self.events: deque[RequestEvent] = deque()

    @property
    def is_empty(self) -> bool:
        """Return whether everything that was received has been handled."""
        return not self.events and not self._data

    @property
    def head_in_progress(self) -> bool:
        """Return whether a part of a head was parsed, and not all of it."""
        return self._parser is not None and self._parser.head_in_progress

    def add(self, data: bytes) -> int:
        """Add received bytes; return how much memory they may take."""
        parser = self._parser
        if parser is None:
            return 0
        size = len(data)
        is_body = not self._data and parser.is_inside_body(size)
        if self._data:
            self._data, self._begin = self._data[self._begin :] + data, 0
        elif is_body or size <= SLICE_BYTES:
            self.events.extend(parser.feed(data))
        else:
            self._data = data
        return size if is_body else size * MAX_EXPANSION

    def parse(self) -> bool:
        """Parse the next bytes; return whether there were any."""
        if not self._data or self._parser is None:
            return False
        size = len(self._data) - self._begin
        if size > SLICE_BYTES and not self._parser.is_inside_body(size):
            size = SLICE_BYTES
        begin = self._begin
        self._begin += size
        part = self._data[begin : self._begin]
        if self._begin == len(self._data):
            self._data, self._begin = b"", 0
        self.events.extend(self._parser.feed(part))
        return True

    def clear(self) -> None:
        """Drop what was received; nothing more is parsed."""
        if self._parser is not None:
            self._parser.close()
            self._parser = None
        self._data, self._begin = b"", 0
        self.events.clear()

    def measure(self) -> int:
        """Return the memory that is held, in bytes."""
        cost = len(self._data) + EVENT_COST * len(self.events)
        for event in self.events:
            if isinstance(event, RequestHead):
                cost += event.cost
            elif isinstance(event, bytes):
                cost += len(event)
        return cost if self._parser is None else cost + self._parser.headers_cost
