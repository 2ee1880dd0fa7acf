"""Small HTTP/1.1 helpers on asyncio streams."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 131_072


@dataclass(slots=True)
class Message:
    """A request or a response; names of headers are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""
    received_at: float = 0.0

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ", 2)[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ", 2)[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ", 2)[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    start, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    now = asyncio.get_running_loop().time()
    return Message(start, headers, received_at=now)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bool:
    """Read the body of a message; return whether it was complete."""
    headers = message.headers
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
                if not size:
                    break
            message.body = b"".join(parts)
        else:
            length = int(headers.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return False
    return True


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{start}\r\n{head}\r\n".encode("latin-1") + body


@dataclass(slots=True)
class Server:
    """A listening socket whose connections are ended together with it."""

    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, host: str, port: int, handle) -> None:
        """Listen on an address; ``handle`` serves one connection."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            assert task is not None
            self.tasks.add(task)
            try:
                await handle(reader, writer)
            except (ConnectionError, OSError, asyncio.CancelledError):
                pass
            finally:
                self.tasks.discard(task)
                with contextlib.suppress(Exception):
                    writer.close()

        self.server = await asyncio.start_server(
            serve, host, port, limit=MAX_HEAD_BYTES, backlog=512
        )

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)


async def fetch(
    address: tuple[str, int], data: bytes, timeout_s: float = 5.0
) -> Message | None:
    """Send one request on a new connection; return the whole response, if any."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address, limit=MAX_HEAD_BYTES
            )
            try:
                writer.write(data)
                response = await read_head(reader)
                if response is None or not await read_body(reader, response):
                    return None
                return response
            finally:
                writer.close()
    except (TimeoutError, ConnectionError, OSError):
        return None
