"""Send calls over one connection, as a partner router does."""

from __future__ import annotations

import socket
from dataclasses import dataclass

TIMEOUT_S = 20.0


class CutResponseError(Exception):
    """The connection was closed before the response was complete."""


@dataclass(slots=True, frozen=True)
class Response:
    """A complete response."""

    status: int
    head: bytes
    body: bytes

    def get_header(self, name: bytes) -> bytes:
        """Return the value of a header, empty if absent; ``name`` is in lower case."""
        for line in self.head.split(b"\r\n"):
            header_name, separator, value = line.partition(b":")
            if separator and header_name.lower() == name:
                return value.strip()
        return b""


class Router:
    """Partner router with one keep-alive connection to an address."""

    def __init__(self, address: str, timeout_s: float = TIMEOUT_S) -> None:
        host, _, port = address.rpartition(":")
        self._sock = socket.create_connection((host, int(port)), timeout_s)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self, request: bytes) -> Response:
        """Send a request and return the complete response."""
        self.send(request)
        return self.read_response()

    def send(self, data: bytes) -> None:
        """Send a part of a request."""
        self._sock.sendall(data)

    def read_response(self) -> Response:
        """Return the next response; a body needs a Content-Length."""
        data = self._sock.recv(65_536)
        while b"\r\n\r\n" not in data:
            data += self._receive()
        head, _, body = data.partition(b"\r\n\r\n")
        status = int(head[9:12])
        length = _read_length(head)
        chunks = [body]
        missing_bytes = length - len(body)
        while missing_bytes > 0:
            chunk = self._receive()
            chunks.append(chunk)
            missing_bytes -= len(chunk)
        return Response(status, head, b"".join(chunks))

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _receive(self) -> bytes:
        chunk = self._sock.recv(262_144)
        if not chunk:
            raise CutResponseError(
                "the connection was closed before the response was complete"
            )
        return chunk


def build_request(
    path: str, token: str = "", method: str = "GET", body: bytes = b"", **headers: str
) -> bytes:
    """Return the bytes of a request; "_" in header names becomes "-"."""
    lines = [f"{method} {path} HTTP/1.1", "Host: monsoontray"]
    if token:
        lines.append(f"Authorization: Bearer {token}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join((*lines, "", "")).encode() + body


def _read_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        if line[:15].lower() == b"content-length:":
            return int(line[15:])
    return 0
