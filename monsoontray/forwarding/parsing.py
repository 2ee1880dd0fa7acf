"""Turn received bytes into heads, body parts and ends of messages."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from monsoontray.decisions.outcomes import Reason
from monsoontray.forwarding.errors import MalformedMessageError
from monsoontray.forwarding.framing import (
    check_headers,
    find_answer_framing,
    find_request_framing,
)
from monsoontray.forwarding.heads import (
    END_OF_MESSAGE,
    AnswerHead,
    EndOfMessage,
    Framing,
    Headers,
    RequestHead,
)


@dataclass(slots=True, frozen=True)
class Malformed:
    """Mark the place after which received bytes can't be read."""

    reason: Reason
    detail: str


@dataclass(slots=True, frozen=True)
class HeadLimits:
    """Bound the head of one message."""

    header_count: int
    head_bytes: int


RequestEvent = RequestHead | bytes | EndOfMessage | Malformed
AnswerEvent = AnswerHead | bytes | EndOfMessage | Malformed


class RequestParser:
    """Parse the requests of one connection."""

    __slots__ = (
        "_events",
        "_head_done",
        "_headers",
        "_limits",
        "_parser",
        "_size",
        "_target",
        "_unread",
    )

    def __init__(self, limits: HeadLimits) -> None:
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._events: list[RequestEvent] = []
        self._headers: Headers = []
        self._target = b""
        self._size = 0
        self._head_done = False
        self._unread = 0  # bytes since the last event

    def feed(self, data: bytes) -> list[RequestEvent]:
        """Return the events that the bytes complete."""
        events: list[RequestEvent] = []
        self._events = events
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            events.append(Malformed(Reason.UNSUPPORTED, "upgrades are not served"))
        except httptools.HttpParserError as error:
            events.append(_describe_fault(error))
        self._unread = 0 if events else self._unread + len(data)
        if self._unread > self._limits.head_bytes:
            detail = "the head, trailers or chunk extensions are too large"
            events.append(Malformed(Reason.HEAD_TOO_LARGE, detail))
        return events

    def has_open_head(self) -> bool:
        """Say whether part of a head has been received."""
        return not self._head_done and self._size > 0

    def on_message_begin(self) -> None:
        """Prepare for the next message."""
        self._headers = []
        self._target = b""
        self._size = 1
        self._head_done = False

    def on_url(self, part: bytes) -> None:
        """Collect the request target."""
        self._target += part
        self._count(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if self._head_done:
            return
        self._headers.append((name.lower(), value))
        self._count(len(name) + len(value))
        if len(self._headers) > self._limits.header_count:
            raise MalformedMessageError(Reason.HEAD_TOO_LARGE, "too many headers")

    def on_headers_complete(self) -> None:
        """Emit the head."""
        self._head_done = True
        check_headers(self._headers)
        version = self._parser.get_http_version()
        framing, length = find_request_framing(self._headers, version)
        method = self._parser.get_method().decode("latin-1")
        if method == "CONNECT":
            raise MalformedMessageError(Reason.UNSUPPORTED, "CONNECT is not served")
        keep_alive = self._parser.should_keep_alive()
        self._events.append(
            RequestHead(
                method, self._target, self._headers, framing, length, keep_alive
            )
        )

    def on_body(self, part: bytes) -> None:
        """Emit a body part."""
        self._events.append(part)

    def on_message_complete(self) -> None:
        """Emit the end of the message."""
        self._size = 0
        self._events.append(END_OF_MESSAGE)

    def _count(self, size: int) -> None:
        self._size += size
        if self._size > self._limits.head_bytes:
            raise MalformedMessageError(Reason.HEAD_TOO_LARGE, "the head is too large")


class AnswerParser:
    """Parse the answers of one connection; told each request's method."""

    __slots__ = (
        "_events",
        "_headers",
        "_informational",
        "_limits",
        "_method",
        "_parser",
        "_skip_body",
        "_unread",
    )

    def __init__(self, limits: HeadLimits) -> None:
        self._limits = limits
        self._events: list[AnswerEvent] = []
        self._headers: Headers = []
        self._method = ""
        self._informational = False
        self._skip_body = False
        self._parser = httptools.HttpResponseParser(self)
        self._unread = 0  # bytes since the last event

    def expect_answer(self, method: str) -> None:
        """Prepare for the answer to a request."""
        self._method = method
        if self._skip_body:
            self._skip_body = False
            self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> list[AnswerEvent]:
        """Return the events that the bytes complete."""
        events: list[AnswerEvent] = []
        self._events = events
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            events.append(Malformed(Reason.BAD_ANSWER, "the answer is an upgrade"))
        except httptools.HttpParserError as error:
            fault = _describe_fault(error)
            events.append(Malformed(Reason.BAD_ANSWER, fault.detail))
        self._unread = 0 if events else self._unread + len(data)
        if self._unread > self._limits.head_bytes:
            events.append(Malformed(Reason.BAD_ANSWER, "the head is too large"))
        return events

    def on_message_begin(self) -> None:
        """Prepare for the next message."""
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))
        if len(self._headers) > self._limits.header_count:
            raise MalformedMessageError(Reason.BAD_ANSWER, "too many headers")

    def on_headers_complete(self) -> None:
        """Emit the head, unless it is informational."""
        status = self._parser.get_status_code()
        self._informational = status < 200
        if self._informational:
            return
        check_headers(self._headers)
        framing, length = find_answer_framing(self._headers, status, self._method)
        keep_alive = self._parser.should_keep_alive()
        head = AnswerHead(status, self._headers, framing, length, keep_alive)
        self._events.append(head)
        if self._method == "HEAD":
            self._skip_body = True
            self._events.append(END_OF_MESSAGE)

    def on_body(self, part: bytes) -> None:
        """Emit a body part."""
        if self._skip_body:
            raise MalformedMessageError(Reason.BAD_ANSWER, "a HEAD answer has a body")
        self._events.append(part)

    def on_message_complete(self) -> None:
        """Emit the end of the message."""
        if not self._informational and not self._skip_body:
            self._events.append(END_OF_MESSAGE)


def _describe_fault(error: Exception) -> Malformed:
    cause = error.__context__
    if isinstance(cause, MalformedMessageError):
        return Malformed(cause.reason, cause.detail)
    return Malformed(Reason.BAD_REQUEST, str(error) or "the message is malformed")


def is_framed(head: AnswerHead) -> bool:
    """Say whether the end of an answer can be told from a cut."""
    return head.framing is not Framing.UNTIL_CLOSE
