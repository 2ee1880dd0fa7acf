"""Find how a message is framed; refuse what two parsers may read differently."""

from __future__ import annotations

import re

from monsoontray.decisions.outcomes import Reason
from monsoontray.forwarding.errors import MalformedMessageError
from monsoontray.forwarding.heads import Framing, Headers

_LENGTH = re.compile(rb"[0-9]{1,15}")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9a-z-]+")
_VERSIONS = ("1.0", "1.1")


def check_headers(headers: Headers) -> None:
    """Refuse names and values with characters that HTTP does not allow."""
    if _CONTROL.search(b"".join([value for _, value in headers])):
        raise _refuse("a header value holds a control character")
    for name, _ in headers:
        if not _TOKEN.fullmatch(name):
            raise _refuse(f"header name {name!r} is not a token")


def find_request_framing(headers: Headers, version: str) -> tuple[Framing, int]:
    """Return the framing of a request and its length in bytes."""
    if version not in _VERSIONS:
        raise _refuse(f"HTTP version {version} is not served")
    hosts = _find_all(headers, b"host")
    if len(hosts) > 1 or (version == "1.1" and not hosts):
        raise _refuse("the Host header must appear once")
    if _find_all(headers, b"upgrade"):
        raise MalformedMessageError(Reason.UNSUPPORTED, "upgrades are not served")
    codings = _find_all(headers, b"transfer-encoding")
    lengths = _find_all(headers, b"content-length")
    if codings:
        if version == "1.0":
            raise _refuse("HTTP/1.0 has no transfer codings")
        _check_codings(codings, lengths)
        return Framing.CHUNKED, 0
    if lengths:
        return Framing.LENGTH, _read_length(lengths)
    return Framing.EMPTY, 0


def find_answer_framing(
    headers: Headers, status: int, method: str
) -> tuple[Framing, int]:
    """Return the framing of an answer and its length in bytes."""
    codings = _find_all(headers, b"transfer-encoding")
    lengths = _find_all(headers, b"content-length")
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


def _check_codings(codings: list[bytes], lengths: list[bytes]) -> None:
    if lengths:
        raise _refuse("Transfer-Encoding and Content-Length exclude each other")
    if len(codings) > 1 or codings[0].lower() != b"chunked":
        raise _refuse("the only transfer coding served is 'chunked'")


def _read_length(lengths: list[bytes]) -> int:
    if len(lengths) > 1:
        raise _refuse("Content-Length appears twice")
    if not _LENGTH.fullmatch(lengths[0]):
        raise _refuse(f"Content-Length {lengths[0]!r} is not a number")
    return int(lengths[0])


def _find_all(headers: Headers, name: bytes) -> list[bytes]:
    return [value for each, value in headers if each == name]


def _refuse(detail: str) -> MalformedMessageError:
    return MalformedMessageError(Reason.BAD_REQUEST, detail)
