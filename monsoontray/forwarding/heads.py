"""Heads of HTTP messages and how they are framed."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]  # names in lower case


class Framing(enum.Enum):
    """Say how the end of a body is found."""

    EMPTY = "empty"
    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until-close"


@dataclass(slots=True)
class RequestHead:
    """Hold the head of a request."""

    method: str
    target: bytes
    headers: Headers
    framing: Framing
    length: int
    keep_alive: bool

    def find(self, name: bytes) -> bytes:
        """Return the value of a header, or nothing."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class AnswerHead:
    """Hold the head of an answer."""

    status: int
    headers: Headers
    framing: Framing
    length: int
    keep_alive: bool

    def find(self, name: bytes) -> bytes:
        """Return the value of a header, or nothing."""
        return find_header(self.headers, name)


@dataclass(slots=True, frozen=True)
class EndOfMessage:
    """Mark the end of a message."""


END_OF_MESSAGE = EndOfMessage()

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
_OWN_PREFIX = b"monsoontray-"

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in HTTPStatus
}


def find_header(headers: Headers, name: bytes) -> bytes:
    """Return the value of a header, or nothing."""
    for each, value in headers:
        if each == name:
            return value
    return b""


def select_end_to_end(headers: Headers) -> Headers:
    """Return the headers that pass through: not hop-by-hop and not our own."""
    named = _HOP_BY_HOP
    connection = find_header(headers, b"connection")
    if connection and connection.lower() not in (b"keep-alive", b"close"):
        tokens = (token.strip().lower() for token in connection.split(b","))
        named = named.union(tokens) - {b"host"}
    return [
        header
        for header in headers
        if header[0] not in named and not header[0].startswith(_OWN_PREFIX)
    ]


def encode_request(
    method: str, target: bytes, headers: Headers, framing: Framing, length: int
) -> bytes:
    """Return the bytes of a request's head."""
    lines = [method.encode(), b" ", target, b" HTTP/1.1\r\n"]
    _append_headers(lines, headers, framing, length)
    return b"".join(lines)


def encode_answer(
    status: int, headers: Headers, framing: Framing, length: int
) -> bytes:
    """Return the bytes of an answer's head."""
    line = _STATUS_LINES.get(status) or f"HTTP/1.1 {status} Other\r\n".encode()
    lines = [line]
    _append_headers(lines, headers, framing, length)
    return b"".join(lines)


def encode_chunk(data: bytes) -> bytes:
    """Return a body part as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _append_headers(
    lines: list[bytes], headers: Headers, framing: Framing, length: int
) -> None:
    for name, value in headers:
        lines += (name, b": ", value, b"\r\n")
    if framing is Framing.LENGTH:
        lines.append(b"content-length: %d\r\n\r\n" % length)
    elif framing is Framing.CHUNKED:
        lines.append(b"transfer-encoding: chunked\r\n\r\n")
    else:
        lines.append(b"\r\n")
