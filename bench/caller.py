"""Send calls over one connection, as a partner router does."""

from __future__ import annotations

import socket
from dataclasses import dataclass

TIMEOUT_S = 20.0
RECEIVE_BYTES = 262_144
_HEAD_END = b"\r\n\r\n"
_LINE_END = b"\r\n"


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
    """Partner router with one keep-alive connection to an address.

    With a small ``receive_buffer_bytes`` its window closes soon if it doesn't read.
    """

    def __init__(
        self,
        address: str,
        timeout_s: float = TIMEOUT_S,
        receive_buffer_bytes: int | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._sock = socket.socket()
        if receive_buffer_bytes is not None:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        self._sock.settimeout(timeout_s)
        try:
            self._sock.connect((host, int(port)))
        except OSError:
            self._sock.close()
            raise
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._unread = b""  # received behind the last response that was read

    def call(self, request: bytes) -> Response:
        """Send a request and return the complete response."""
        self.send(request)
        return self.read_response()

    def send(self, data: bytes) -> None:
        """Send a part of a request."""
        self._sock.sendall(data)

    def wait_for_response(self) -> None:
        """Wait until a response begins, and leave it unread."""
        if not self._unread:
            self._sock.recv(1, socket.MSG_PEEK)

    def read_response(self) -> Response:
        """Return the next response; its body is in chunks or has a Content-Length."""
        head = self._read_until(_HEAD_END)
        response = Response(int(head[9:12]), head, b"")
        if response.get_header(b"transfer-encoding") == b"chunked":
            body = self._read_chunks()
        else:
            body = self._read_bytes(_read_length(head))
        return Response(response.status, head, body)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _read_chunks(self) -> bytes:
        """Return a body in chunks, up to the last chunk, which has no trailers."""
        chunks = []
        while size := int(self._read_until(_LINE_END), 16):
            chunks.append(self._read_bytes(size))
            self._read_until(_LINE_END)
        self._read_until(_LINE_END)
        return b"".join(chunks)

    def _read_until(self, end: bytes) -> bytes:
        """Return what precedes an end, and remove both."""
        while end not in self._unread:
            self._unread += self._receive()
        found, _, self._unread = self._unread.partition(end)
        return found

    def _read_bytes(self, size: int) -> bytes:
        """Return and remove a number of bytes."""
        parts = [self._unread]
        missing = size - len(self._unread)
        while missing > 0:
            parts.append(self._receive())
            missing -= len(parts[-1])
        received = b"".join(parts)
        self._unread = received[size:]
        return received[:size]

    def _receive(self) -> bytes:
        chunk = self._sock.recv(RECEIVE_BYTES)
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
