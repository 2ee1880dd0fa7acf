"""Parsers that convert received bytes to heads, body parts and ends of messages."""

from __future__ import annotations

import httptools
from msgspec import Struct

from monsoontray.decisions.outcomes import Reason
from monsoontray.forwarding.errors import MalformedMessageError
from monsoontray.forwarding.framing import (
    HeaderCollector,
    HeadLimits,
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


RequestEvent = RequestHead | bytes | EndOfMessage | Malformed
ResponseEvent = ResponseHead | bytes | EndOfMessage | ContinueReceived | Malformed


class RequestParser(HeaderCollector):
    """Parser of the requests of one connection."""

    __slots__ = (
        "_body_parts",
        "_bytes_since_event",
        "_events",
        "_missing_bytes",
        "_target",
        "head_in_progress",
    )

    def __init__(
        self, limits: HeadLimits, extra_headers: ExtraHeaders = NO_EXTRA_HEADERS
    ) -> None:
        super().__init__(limits, extra_headers)
        self._parser = httptools.HttpRequestParser(self)
        self._events: list[RequestEvent] = []
        self._target = b""
        self._body_parts: list[bytes] = []  # since the last event
        self._missing_bytes = 0  # of a body with a length
        self.head_in_progress = False  # a part of a head was received
        self._bytes_since_event = 0  # bytes of earlier calls since the last event

    def feed(self, data: bytes) -> list[RequestEvent]:
        """Parse bytes and return the resulting events."""
        events: list[RequestEvent] = []
        self._events = events
        malformed = None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            detail = "protocol upgrades are not supported"
            malformed = Malformed(Reason.UNSUPPORTED, detail)
        except httptools.HttpParserError as error:
            malformed = _build_malformed(error)
        self._flush_body()
        self._events = []  # heads are not kept until the next call
        if malformed is not None:
            events.append(malformed)
        self._bytes_since_event = 0 if events else self._bytes_since_event + len(data)
        if self._bytes_since_event > self._max_bytes:
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
        if len(self._target) > self._max_bytes:
            raise MalformedMessageError(Reason.HEAD_TOO_LARGE, "the target is too long")

    def on_headers_complete(self) -> None:
        """Emit the head."""
        self.head_in_progress = False
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
            self.headers_cost,
        )
        self._missing_bytes = length
        self._target = b""
        self.begin_trailers()
        self._events.append(head)

    def on_body(self, part: bytes) -> None:
        """Collect a body part."""
        self._missing_bytes -= len(part)
        self._body_parts.append(part)

    def on_message_complete(self) -> None:
        """Emit the end of the message."""
        self._flush_body()
        self._events.append(END_OF_MESSAGE)

    def is_inside_body(self, size: int) -> bool:
        """Return whether the next bytes, of a given number, are all of one body."""
        return self._missing_bytes >= size

    def _flush_body(self) -> None:
        """Emit the collected parts as one, since small chunks are costly to forward."""
        parts = self._body_parts
        if parts:
            self._events.append(parts[0] if len(parts) == 1 else b"".join(parts))
            parts.clear()


class ResponseParser(HeaderCollector):
    """Parser of the responses of one connection.

    It needs the method of each request: a response to HEAD has no body.
    """

    __slots__ = (
        "_body_forbidden",
        "_body_parts",
        "_bytes_since_event",
        "_events",
        "_informational",
        "_method",
        "head_in_progress",
    )

    def __init__(
        self, limits: HeadLimits, extra_headers: ExtraHeaders = NO_EXTRA_HEADERS
    ) -> None:
        super().__init__(limits, extra_headers)
        self._events: list[ResponseEvent] = []
        self._method = ""
        self._informational = False
        self._body_forbidden = False
        self._body_parts: list[bytes] = []  # since the last event
        self._parser = httptools.HttpResponseParser(self)
        self.head_in_progress = False  # a part of a head was received
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
        self._events = []  # heads are not kept until the next call
        if malformed is not None:
            events.append(malformed)
        self._bytes_since_event = 0 if events else self._bytes_since_event + len(data)
        if self._bytes_since_event > self._max_bytes:
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
        self.begin_trailers()
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
