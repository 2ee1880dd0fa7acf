"""Heads of HTTP messages, their framing and their encoding."""

from __future__ import annotations

import enum
from http import HTTPStatus

from msgspec import Struct

Headers = list[tuple[bytes, bytes]]  # names in lower case


class Framing(enum.Enum):
    """How the end of a body is found."""

    EMPTY = "empty"
    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until-close"


class ExtraHeaders(Struct, frozen=True):
    """Headers a node acts on in addition to those with its own prefix."""

    forwarded: frozenset[bytes] = frozenset()  # also forwarded
    stripped: frozenset[bytes] = frozenset()  # removed before forwarding


NO_EXTRA_HEADERS = ExtraHeaders()


class RequestHead(Struct):
    """Head of a request."""

    method: str
    target: bytes
    lines: list[bytes]  # encoded end-to-end headers
    node_headers: dict[bytes, bytes]  # headers that the node acts on
    host: str
    authorization: bytes
    framing: Framing
    length: int
    keep_alive: bool
    expects_continue: bool
    cost: int = 0  # memory that its headers take, in bytes

    @property
    def has_body(self) -> bool:
        """Return whether a body may follow; one in chunks has no length."""
        return self.framing is Framing.CHUNKED or self.length > 0


class ResponseHead(Struct):
    """Head of a response."""

    status: int
    lines: list[bytes]  # encoded end-to-end headers
    node_headers: dict[bytes, bytes]  # headers that the node acts on
    framing: Framing
    length: int
    keep_alive: bool
    keep_alive_s: float = 0.0  # timeout that the server announced; 0 if none


class EndOfMessage(Struct, frozen=True):
    """Parser event: the end of a message."""


class ContinueReceived(Struct, frozen=True):
    """Parser event: a "100 Continue" response, which asks for the body."""


END_OF_MESSAGE = EndOfMessage()
CONTINUE_RECEIVED = ContinueReceived()
CONTINUE_STATUS = 100

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
EXPECT_CONTINUE_HEADER = b"expect: 100-continue\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CONNECTION_CLOSE_HEADER = b"connection: close\r\n"
NODE_HEADER_PREFIX = b"monsoontray-"
AUTHORIZATION = b"authorization"

_FRAMING_HEADERS = {
    Framing.EMPTY: b"\r\n",
    Framing.CHUNKED: b"transfer-encoding: chunked\r\n\r\n",
}
_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in HTTPStatus
}


def encode_header(name: bytes, value: bytes) -> bytes:
    """Return the header line of a name and a value."""
    return b"".join((name, b": ", value, b"\r\n"))


def take_values(head: RequestHead, name: bytes) -> list[bytes]:
    """Remove the headers with a name, in lower case, and return their values."""
    prefix = name + b": "
    taken = [line for line in head.lines if line.startswith(prefix)]
    if taken:
        head.lines = [line for line in head.lines if not line.startswith(prefix)]
    return [line[len(prefix) : -len(b"\r\n")] for line in taken]


def encode_request(
    method: str, target: bytes, lines: list[bytes], framing: Framing, length: int
) -> bytes:
    """Return the encoded head of a request."""
    start = b"%b %b HTTP/1.1\r\n" % (method.encode(), target)
    return b"".join((start, *lines, _encode_framing(framing, length)))


def encode_response(
    status: int, lines: list[bytes], framing: Framing, length: int
) -> bytes:
    """Return the encoded head of a response."""
    start = _STATUS_LINES.get(status) or f"HTTP/1.1 {status} Other\r\n".encode()
    return b"".join((start, *lines, _encode_framing(framing, length)))


def encode_chunk(data: bytes) -> bytes:
    """Return a part of a body, encoded as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _encode_framing(framing: Framing, length: int) -> bytes:
    """Return the framing header, if any, and the end of the head."""
    if framing is Framing.LENGTH:
        return b"content-length: %d\r\n\r\n" % length
    return _FRAMING_HEADERS[framing]
