"""Parsers that convert received bytes to heads, body parts and ends of messages."""

from __future__ import annotations

import httptools
from msgspec import Struct

from monsoontray.decisions.outcomes import Reason
from monsoontray.forwarding.errors import MalformedMessageError
from monsoontray.forwarding.framing import (
    HeaderCollector,
    expects_continue,
    find_host,
    find_keep_alive_s,
    find_request_framing,
    find_response_framing,
)
from monsoontray.forwarding.heads import (
    CONTINUE_RECEIVED,
    CONTINUE_STATUS,
    END_OF_MESSAGE,
    NO_EXTRA_HEADERS,
    ContinueReceived,
    EndOfMessage,
    ExtraHeaders,
    Framing,
    RequestHead,
    ResponseHead,
)

_AUTHORIZATION_PREFIX = b"authorization: "
_END_OF_LINE_BYTES = 2
_STATUSES = range(100, 600)
_RESPONSE_VERSIONS = frozenset(("1.0", "1.1"))


class Malformed(Struct, frozen=True):
    """Parser event: the message is malformed, and parsing has stopped."""

    reason: Reason
    detail: str


class HeadLimits(Struct, frozen=True):
    """Limits of the head of a message."""

    header_count: int
    head_bytes: int


RequestEvent = RequestHead | bytes | EndOfMessage | Malformed
ResponseEvent = ResponseHead | bytes | EndOfMessage | ContinueReceived | Malformed


class RequestParser(HeaderCollector):
    """Parser of the requests of one connection."""

    __slots__ = (
        "_bytes_since_event",
        "_events",
        "_feed_bytes",
        "_limits",
        "_parser",
        "_target",
        "head_in_progress",
    )

    def __init__(
        self, limits: HeadLimits, extra_headers: ExtraHeaders = NO_EXTRA_HEADERS
    ) -> None:
        super().__init__(extra_headers)
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._events: list[RequestEvent] = []
        self._target = b""
        self.head_in_progress = False  # a part of a head was received
        self._feed_bytes = 0  # bytes passed to the current call of feed
        self._bytes_since_event = 0  # bytes of earlier calls since the last event

    def feed(self, data: bytes) -> list[RequestEvent]:
        """Parse bytes and return the resulting events."""
        events: list[RequestEvent] = []
        self._events = events
        self._feed_bytes = len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            events.append(
                Malformed(Reason.UNSUPPORTED, "protocol upgrades are not supported")
            )
        except httptools.HttpParserError as error:
            events.append(_build_malformed(error))
        self._bytes_since_event = 0 if events else self._bytes_since_event + len(data)
        if self._bytes_since_event > self._limits.head_bytes:
            detail = "the head, trailers or chunk extensions are too large"
            events.append(Malformed(Reason.HEAD_TOO_LARGE, detail))
        return events

    def on_message_begin(self) -> None:
        """Reset the state for the next message."""
        self.reset_headers()
        self._target = b""
        self.head_in_progress = True

    def on_url(self, part: bytes) -> None:
        """Collect the request target."""
        self._target += part
        if len(self._target) > self._limits.head_bytes:
            raise MalformedMessageError(Reason.HEAD_TOO_LARGE, "the target is too long")

    def on_headers_complete(self) -> None:
        """Emit the head."""
        self.head_in_progress = False
        _check_limits(self, self._limits, self._bytes_since_event + self._feed_bytes)
        parser = self._parser
        framing, length = find_request_framing(self, parser.get_http_version())
        self.drop_connection_options()
        method = parser.get_method().decode("latin-1")
        if method == "CONNECT":
            raise MalformedMessageError(Reason.UNSUPPORTED, "CONNECT is not supported")
        head = RequestHead(
            method,
            self._target,
            self.lines,
            self.node_headers,
            find_host(self),
            _find_authorization(self.lines),
            framing,
            length,
            parser.should_keep_alive(),
            expects_continue(self),
        )
        self.reset_headers()  # trailers are dropped
        self._events.append(head)

    def on_body(self, part: bytes) -> None:
        """Emit a body part."""
        self._events.append(part)

    def on_message_complete(self) -> None:
        """Emit the end of the message."""
        self._events.append(END_OF_MESSAGE)


class ResponseParser(HeaderCollector):
    """Parser of the responses of one connection.

    It needs the method of each request: a response to HEAD has no body.
    """

    __slots__ = (
        "_body_forbidden",
        "_body_parts",
        "_bytes_since_event",
        "_events",
        "_feed_bytes",
        "_informational",
        "_limits",
        "_method",
        "_parser",
        "head_in_progress",
    )

    def __init__(
        self, limits: HeadLimits, extra_headers: ExtraHeaders = NO_EXTRA_HEADERS
    ) -> None:
        super().__init__(extra_headers)
        self._limits = limits
        self._events: list[ResponseEvent] = []
        self._method = ""
        self._informational = False
        self._body_forbidden = False
        self._body_parts: list[bytes] = []  # since the last event
        self._parser = httptools.HttpResponseParser(self)
        self.head_in_progress = False  # a part of a head was received
        self._feed_bytes = 0  # bytes passed to the current call of feed
        self._bytes_since_event = 0  # bytes of earlier calls since the last event

    def expect_response(self, method: str) -> None:
        """Prepare for the response to a request."""
        self._method = method
        if self._body_forbidden:
            self._body_forbidden = False
            self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> list[ResponseEvent]:
        """Parse bytes and return the resulting events."""
        events: list[ResponseEvent] = []
        self._events = events
        self._feed_bytes = len(data)
        malformed = None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            malformed = Malformed(
                Reason.BAD_RESPONSE, "the response switches protocols"
            )
        except httptools.HttpParserError as error:
            detail = _build_malformed(error).detail
            malformed = Malformed(Reason.BAD_RESPONSE, detail)
        self._flush_body()
        if malformed is not None:
            events.append(malformed)
        self._bytes_since_event = 0 if events else self._bytes_since_event + len(data)
        if self._bytes_since_event > self._limits.head_bytes:
            events.append(Malformed(Reason.BAD_RESPONSE, "the head is too large"))
        return events

    def on_message_begin(self) -> None:
        """Reset the state for the next message."""
        self.reset_headers()
        self.head_in_progress = True

    def on_headers_complete(self) -> None:
        """Emit the head, unless the response is informational."""
        self.head_in_progress = False
        status = self._parser.get_status_code()
        _check_status_line(status, self._parser.get_http_version())
        self._informational = status < 200
        if self._informational:
            if status == CONTINUE_STATUS:
                self._events.append(CONTINUE_RECEIVED)
            return
        _check_limits(self, self._limits, self._bytes_since_event + self._feed_bytes)
        framing, length = find_response_framing(self, status, self._method)
        self.drop_connection_options()
        keep_alive = self._parser.should_keep_alive()
        head = ResponseHead(
            status,
            self.lines,
            self.node_headers,
            framing,
            length,
            keep_alive,
            find_keep_alive_s(self),
        )
        self.reset_headers()  # trailers are dropped
        self._events.append(head)
        if self._method == "HEAD":
            self._body_forbidden = True
            self._events.append(END_OF_MESSAGE)

    def on_body(self, part: bytes) -> None:
        """Collect a body part."""
        if self._body_forbidden or self._informational:
            raise MalformedMessageError(
                Reason.BAD_RESPONSE, "the response must not have a body"
            )
        self._body_parts.append(part)

    def on_message_complete(self) -> None:
        """Emit the end of the message."""
        self._flush_body()
        if not self._informational and not self._body_forbidden:
            self._events.append(END_OF_MESSAGE)

    def _flush_body(self) -> None:
        """Emit the collected parts as one, since small chunks are costly to forward."""
        parts = self._body_parts
        if parts:
            self._events.append(parts[0] if len(parts) == 1 else b"".join(parts))
            parts.clear()


def is_delimited(head: ResponseHead) -> bool:
    """Return whether a truncated response can be detected."""
    return head.framing is not Framing.UNTIL_CLOSE


def _check_status_line(status: int, version: str) -> None:
    if status not in _STATUSES:
        detail = f"status {status:03} is out of range"
        raise MalformedMessageError(Reason.BAD_RESPONSE, detail)
    if version not in _RESPONSE_VERSIONS:
        detail = f"HTTP version {version} is not supported"
        raise MalformedMessageError(Reason.BAD_RESPONSE, detail)


def _check_limits(
    collected: HeaderCollector, limits: HeadLimits, read_bytes: int
) -> None:
    if collected.count_headers() > limits.header_count:
        raise MalformedMessageError(Reason.HEAD_TOO_LARGE, "too many headers")
    # The headers are measured only if enough bytes were read to exceed the limit,
    # which is rare.
    if read_bytes > limits.head_bytes < collected.estimate_headers_bytes():
        raise MalformedMessageError(Reason.HEAD_TOO_LARGE, "the head is too large")


def _find_authorization(lines: list[bytes]) -> bytes:
    for line in lines:
        if line.startswith(_AUTHORIZATION_PREFIX):
            return line[len(_AUTHORIZATION_PREFIX) : -_END_OF_LINE_BYTES]
    return b""


def _build_malformed(error: Exception) -> Malformed:
    cause = error.__context__
    if isinstance(cause, MalformedMessageError):
        return Malformed(cause.reason, cause.detail)
    return Malformed(Reason.BAD_REQUEST, str(error) or "the message is malformed")
