"""The client that the experiments and the soak use."""

from __future__ import annotations

import socket
from contextlib import closing

import pytest

from bench.caller import CutResponseError, Router

SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nsec\r\n3\r\nond\r\n0\r\n\r\n"
)


@pytest.fixture
def connection():
    """Yield a router and the other end of its connection."""
    with closing(socket.create_server(("127.0.0.1", 0))) as listener:
        router = Router(f"127.0.0.1:{listener.getsockname()[1]}", 2.0)
        with closing(listener.accept()[0]) as peer:
            yield router, peer
        router.close()


def test_responses_that_arrive_together_are_read_one_by_one(connection):
    router, peer = connection
    peer.sendall(SIZED + CHUNKED + SIZED)
    bodies = [router.read_response().body for _ in range(3)]
    assert bodies == [b"first", b"second", b"first"]


# A response in chunks that broke off before its last chunk was taken for a whole one.
@pytest.mark.parametrize("response", [SIZED, CHUNKED])
def test_response_that_breaks_off_anywhere_is_not_whole(connection, response):
    router, peer = connection
    peer.sendall(SIZED + response[:-1])
    peer.shutdown(socket.SHUT_WR)
    assert router.read_response().body == b"first"
    with pytest.raises(CutResponseError):
        router.read_response()
