"""Find how a message is framed; refuse what two parsers may read differently."""

from __future__ import annotations

from monsoontray.decisions.outcomes import Reason
from monsoontray.forwarding.errors import MalformedMessageError
from monsoontray.forwarding.heads import (
    OWN_PREFIX,
    Framing,
    HeaderNames,
    Headers,
    encode_line,
)

MAX_LENGTH_DIGITS = 15
_VERSION = "1.1"
_NAMED_BY_CONNECTION = (b"keep-alive", b"close")
#: Headers that concern one connection only or how the message is framed.
HOP_HEADERS = frozenset(
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


class HeaderCollector:
    """Sort the headers of one message as the parser reads them."""

    __slots__ = ("_read", "_taken", "hop", "lines", "own")

    def __init__(self, names: HeaderNames) -> None:
        self._read = names.read
        self._taken = names.taken
        self.begin_headers()

    def begin_headers(self) -> None:
        """Prepare for the next message."""
        self.hop: Headers = []
        self.lines: list[bytes] = []
        self.own: dict[bytes, bytes] = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; the parser has checked its characters."""
        name, value = name.lower(), value.rstrip()
        if name in HOP_HEADERS:
            self.hop.append((name, value))
        elif name.startswith(OWN_PREFIX) or name in self._taken:
            self.own[name] = value
        else:
            if name in self._read:
                self.own[name] = value
            self.lines.append(b"".join((name, b": ", value, b"\r\n")))

    def count_headers(self) -> int:
        """Return how many headers were taken."""
        return len(self.hop) + len(self.lines) + len(self.own)

    def measure_headers(self) -> int:
        """Return how many bytes the headers take, about."""
        own = sum(len(name) + len(value) for name, value in self.own.items())
        return sum(map(len, self.lines)) + own

    def drop_named_by_connection(self) -> None:
        """Drop the headers that the Connection header makes hop-by-hop."""
        for name, value in self.hop:
            if name == b"connection" and value.lower() not in _NAMED_BY_CONNECTION:
                tokens = (token.strip().lower() for token in value.split(b","))
                starts = tuple(token + b": " for token in tokens if token)
                self.lines = [
                    line for line in self.lines if not line.startswith(starts)
                ]


def find_request_framing(
    collected: HeaderCollector, version: str
) -> tuple[Framing, int]:
    """Return the framing of a request and its length in bytes."""
    if version != _VERSION:
        detail = f"HTTP version {version} is not served"
        raise MalformedMessageError(Reason.UNSUPPORTED, detail)
    hosts = _find_all(collected.hop, b"host")
    if len(hosts) != 1:
        raise _refuse("the Host header must appear once")
    collected.lines.append(encode_line(b"host", hosts[0]))
    if len(collected.hop) == 1:
        return Framing.EMPTY, 0
    if _find_all(collected.hop, b"upgrade"):
        raise MalformedMessageError(Reason.UNSUPPORTED, "upgrades are not served")
    codings = _find_all(collected.hop, b"transfer-encoding")
    lengths = _find_all(collected.hop, b"content-length")
    if codings:
        _check_codings(codings, lengths)
        return Framing.CHUNKED, 0
    if lengths:
        return Framing.LENGTH, _read_length(lengths)
    return Framing.EMPTY, 0


def find_response_framing(
    collected: HeaderCollector, status: int, method: str
) -> tuple[Framing, int]:
    """Return the framing of a response and its length in bytes."""
    codings = _find_all(collected.hop, b"transfer-encoding")
    lengths = _find_all(collected.hop, b"content-length")
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
    hosts = _find_all(collected.hop, b"host")
    return hosts[0].decode("latin-1") if hosts else ""


def find_keep_alive_s(collected: HeaderCollector) -> float:
    """Return how long the other end keeps an idle connection; 0 if it is unsaid."""
    for value in _find_all(collected.hop, b"keep-alive"):
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                return float(int(seconds[:MAX_LENGTH_DIGITS]))
    return 0.0


def find_expectation(collected: HeaderCollector) -> bool:
    """Say whether the caller waits to be asked for the body."""
    expectations = _find_all(collected.hop, b"expect")
    return any(value.lower() == b"100-continue" for value in expectations)


def _check_codings(codings: list[bytes], lengths: list[bytes]) -> None:
    if lengths:
        raise _refuse("Transfer-Encoding and Content-Length exclude each other")
    if len(codings) > 1 or codings[0].lower() != b"chunked":
        raise _refuse("the only transfer coding served is 'chunked'")


def _read_length(lengths: list[bytes]) -> int:
    if len(lengths) > 1:
        raise _refuse("Content-Length appears twice")
    if not lengths[0].isdigit() or len(lengths[0]) > MAX_LENGTH_DIGITS:
        raise _refuse(f"Content-Length {lengths[0]!r} is not a number in range")
    return int(lengths[0])


def _find_all(headers: Headers, name: bytes) -> list[bytes]:
    return [value for each, value in headers if each == name]


def _refuse(detail: str) -> MalformedMessageError:
    return MalformedMessageError(Reason.BAD_REQUEST, detail)
