"""Headers and framing of HTTP messages.

Messages that two parsers may read differently are refused to prevent request smuggling.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from monsoontray.decisions.outcomes import Reason
from monsoontray.forwarding.errors import MalformedMessageError
from monsoontray.forwarding.heads import (
    NODE_HEADER_PREFIX,
    ExtraHeaders,
    Framing,
    Headers,
    encode_header,
)

MAX_DECIMAL_DIGITS = 15
MIN_HEADER_BYTES = 3  # the colon and the end of the line
#: Memory that a short header takes beside its bytes: an object and a reference.
HEADER_COST = 96
_HTTP_VERSION = "1.1"
_PERSISTENCE_OPTIONS = (b"keep-alive", b"close")
#: Headers that apply to one connection only, or to the framing of the message.
HOP_BY_HOP_HEADERS = frozenset(
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
        b"host",
    )
)


class HeadLimits(Struct, frozen=True):
    """Limits of the head of a message."""

    header_count: int
    head_bytes: int


class HeaderCollector:
    """The headers of one message, grouped by how they are used."""

    __slots__ = (
        "_collects",
        "_forwarded",
        "_header_bytes",
        "_header_count",
        "_max_bytes",
        "_max_count",
        "_parser",
        "_stripped",
        "hop_by_hop",
        "lines",
        "node_headers",
    )

    def __init__(self, limits: HeadLimits, extra_headers: ExtraHeaders) -> None:
        self._max_count = limits.header_count
        self._max_bytes = limits.head_bytes
        self._parser: Any = None
        self._forwarded = extra_headers.forwarded
        self._stripped = extra_headers.stripped
        self.reset_headers()

    @property
    def headers_cost(self) -> int:
        """Return the memory that the headers received so far may take, in bytes."""
        return self._header_bytes + self._header_count * HEADER_COST

    def reset_headers(self) -> None:
        """Prepare for the next message."""
        self.hop_by_hop: Headers = []
        self.lines: list[bytes] = []
        self.node_headers: dict[bytes, bytes] = {}
        self._header_count = 0
        self._header_bytes = 0
        self._collects = True

    def close(self) -> None:
        """Drop the headers and the parser, which refer to each other.

        The garbage collector would find them late: it doesn't count header lines.
        """
        self.reset_headers()
        self._parser = None

    def begin_trailers(self) -> None:
        """Drop the headers of the head; trailers are counted and dropped."""
        self.reset_headers()
        self._collects = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; the parser has checked its characters.

        Raise MalformedMessageError if the limits are exceeded.
        """
        count = self._header_count = self._header_count + 1
        size = self._header_bytes + len(name) + len(value) + MIN_HEADER_BYTES
        self._header_bytes = size
        if count > self._max_count or size > self._max_bytes:
            raise MalformedMessageError(
                Reason.HEAD_TOO_LARGE, "too many or too large headers"
            )
        if not self._collects:
            return
        name, value = name.lower(), value.rstrip()
        if name in HOP_BY_HOP_HEADERS:
            self.hop_by_hop.append((name, value))
        elif name.startswith(NODE_HEADER_PREFIX) or name in self._stripped:
            self.node_headers[name] = value
        else:
            if name in self._forwarded:
                self.node_headers[name] = value
            self.lines.append(b"".join((name, b": ", value, b"\r\n")))

    def drop_connection_options(self) -> None:
        """Remove the headers that the Connection header lists as hop-by-hop.

        The Host header stays, because no request is valid without it.
        """
        tokens = {
            token.strip().lower()
            for name, value in self.hop_by_hop
            if name == b"connection" and value.lower() not in _PERSISTENCE_OPTIONS
            for token in value.split(b",")
        }
        dropped = tokens - {b"", b"host"}
        if dropped:
            self.lines = [
                line for line in self.lines if line.partition(b":")[0] not in dropped
            ]


def find_request_framing(
    collected: HeaderCollector, version: str
) -> tuple[Framing, int]:
    """Return the framing of a request and its Content-Length, or 0."""
    if version != _HTTP_VERSION:
        detail = f"HTTP version {version} is not supported"
        raise MalformedMessageError(Reason.UNSUPPORTED, detail)
    hosts = _find_values(collected.hop_by_hop, b"host")
    if len(hosts) != 1:
        raise _build_bad_request("the Host header must appear exactly once")
    collected.lines.append(encode_header(b"host", hosts[0]))
    if len(collected.hop_by_hop) == 1:
        return Framing.EMPTY, 0
    if _find_values(collected.hop_by_hop, b"upgrade"):
        raise MalformedMessageError(
            Reason.UNSUPPORTED, "protocol upgrades are not supported"
        )
    codings = _find_values(collected.hop_by_hop, b"transfer-encoding")
    lengths = _find_values(collected.hop_by_hop, b"content-length")
    if codings:
        _check_codings(codings, lengths)
        return Framing.CHUNKED, 0
    if lengths:
        return Framing.LENGTH, _read_length(lengths)
    return Framing.EMPTY, 0


def find_response_framing(
    collected: HeaderCollector, status: int, method: str
) -> tuple[Framing, int]:
    """Return the framing of a response and its Content-Length, or 0."""
    codings = _find_values(collected.hop_by_hop, b"transfer-encoding")
    lengths = _find_values(collected.hop_by_hop, b"content-length")
    if codings:
        _check_codings(codings, lengths)
        if status in (204, 304) or method == "HEAD":
            return Framing.EMPTY, 0
        return Framing.CHUNKED, 0
    if status == 204:
        return Framing.EMPTY, 0
    if lengths:
        return Framing.LENGTH, _read_length(lengths)
    if status == 304 or method == "HEAD":
        return Framing.EMPTY, 0
    return Framing.UNTIL_CLOSE, 0


def find_host(collected: HeaderCollector) -> str:
    """Return the value of the Host header."""
    hosts = _find_values(collected.hop_by_hop, b"host")
    return hosts[0].decode("latin-1") if hosts else ""


def find_keep_alive_s(collected: HeaderCollector) -> float:
    """Return the Keep-Alive timeout that the other side announced, or 0."""
    for value in _find_values(collected.hop_by_hop, b"keep-alive"):
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                return float(int(seconds[:MAX_DECIMAL_DIGITS]))
    return 0.0


def expects_continue(collected: HeaderCollector) -> bool:
    """Return whether the caller waits for a "100 Continue" response."""
    expectations = _find_values(collected.hop_by_hop, b"expect")
    return any(value.lower() == b"100-continue" for value in expectations)


def _check_codings(codings: list[bytes], lengths: list[bytes]) -> None:
    if lengths:
        raise _build_bad_request(
            "Transfer-Encoding and Content-Length must not be combined"
        )
    if len(codings) > 1 or codings[0].lower() != b"chunked":
        raise _build_bad_request("the only supported transfer coding is 'chunked'")


def _read_length(lengths: list[bytes]) -> int:
    if len(lengths) > 1:
        raise _build_bad_request("Content-Length must not be repeated")
    if not lengths[0].isdigit() or len(lengths[0]) > MAX_DECIMAL_DIGITS:
        raise _build_bad_request(f"Content-Length {lengths[0]!r} is not a valid number")
    return int(lengths[0])


def _find_values(headers: Headers, name: bytes) -> list[bytes]:
    return [value for each, value in headers if each == name]


def _build_bad_request(detail: str) -> MalformedMessageError:
    return MalformedMessageError(Reason.BAD_REQUEST, detail)
