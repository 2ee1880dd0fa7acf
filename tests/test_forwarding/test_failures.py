"""Test calls while nodes, servers or callers crash, stop or are slow."""

from __future__ import annotations

import signal
import socket

import pytest

from bench.caller import CutResponseError, Router, build_request
from tests.fleets import (
    TOKEN,
    call,
    get_observed,
    get_refusal,
    start_single_server_fleet,
)

MB = 1_000_000


def test_killed_guard_fails_no_idempotent_call(fleet):
    entry, guard = start_single_server_fleet(fleet)
    fleet.start_backend("two", "catalogue", entry)
    fleet.wait_for_servers("catalogue", 2)
    router = Router(entry.entry_address)
    assert router.call(build_request("/catalogue", TOKEN)).status == 200
    fleet.kill_node(guard)
    for _ in range(50):
        assert router.call(build_request("/catalogue", TOKEN)).status == 200
    router.close()


def test_crash_of_back_end_reports_post_as_unknown(fleet):
    entry, _guard = start_single_server_fleet(fleet, "--service_ms=5000")
    backend = fleet.backends[0]
    router = Router(entry.entry_address)
    router._sock.sendall(build_request("/catalogue", TOKEN, "POST", b"order"))
    fleet.wait_for(lambda: get_observed(fleet, "one")["calls"], "the call")
    backend.process.kill()
    response = router.read_response()
    assert response.status == 502
    assert get_refusal(response) == (b"connection-lost", b"unknown")
    router.close()


def test_cut_response_is_recognizable_as_incomplete(fleet):
    entry, guard = start_single_server_fleet(fleet)
    for node in (entry, guard):
        for framing in ("length", "chunked"):
            router = Router(node.entry_address)
            path = f"/catalogue?size={50 * MB}&framing={framing}"
            router._sock.sendall(build_request(path, TOKEN))
            assert router._sock.recv(1000).startswith(b"HTTP/1.1 200")
            fleet.backends[-1].process.kill()
            received = b""
            with pytest.raises((CutResponseError, ConnectionError)):  # noqa: PT012
                while True:
                    part = router._sock.recv(MB)
                    if not part:
                        raise CutResponseError
                    received = received[-10:] + part
            assert not received.endswith(b"0\r\n\r\n")
            router.close()
            name = f"again-{node.name}-{framing}"
            fleet.start_backend(name, "catalogue", guard)
            fleet.wait_for(
                lambda node=node: call(node.entry_address, "/catalogue").status == 200,
                "service again",
            )


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_planned_stop_completes_running_calls(fleet, number):
    entry, guard = start_single_server_fleet(fleet, "--service_ms=400")
    router = Router(entry.entry_address)
    idle = Router(entry.entry_address)
    router._sock.sendall(build_request("/catalogue", TOKEN, "POST"))
    fleet.wait_for(lambda: get_observed(fleet, "one")["calls"], "the call")
    for node in (entry, guard):
        node.process.send_signal(number)
    response = router.read_response()
    assert response.status == 200
    assert response.get_header(b"connection") == b"close"
    assert idle._sock.recv(10) == b""
    assert [node.process.wait(15) for node in (entry, guard)] == [0, 0]
    with pytest.raises(OSError, match="refused"):
        Router(entry.entry_address)


def test_slow_and_idle_callers_are_disconnected(fleet):
    entry, _guard = start_single_server_fleet(
        fleet, head_timeout_ms=150, idle_timeout_ms=300
    )
    router = Router(entry.entry_address)
    router._sock.sendall(b"GET /catalogue HTTP/1.1\r\nHos")
    response = router.read_response()
    assert get_refusal(response) == (b"head-timeout", b"not-run")
    router.close()
    router = Router(entry.entry_address)
    head = build_request("/catalogue", TOKEN, "POST", Content_Length="100")
    router._sock.sendall(head + b"begun")
    response = router.read_response()
    assert response.status == 408
    assert get_refusal(response)[0] == b"body-timeout"
    router.close()
    silent = Router(entry.entry_address)
    assert silent._sock.recv(10) == b""
    silent.close()


def test_connections_beyond_the_limit_are_refused(fleet):
    entry, _guard = start_single_server_fleet(fleet, max_caller_connections=3)
    kept = [Router(entry.entry_address) for _ in range(3)]
    for router in kept:
        assert router.call(build_request("/catalogue", TOKEN)).status == 200
    extra = Router(entry.entry_address)
    assert get_refusal(extra.read_response()) == (b"too-many-connections", b"not-run")
    with pytest.raises((CutResponseError, OSError)):
        extra.call(build_request("/catalogue", TOKEN))
    for router in (*kept, extra):
        router.close()


def test_response_without_length_is_refused(fleet):
    entry, guard = start_single_server_fleet(fleet)
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    fleet.post_json(
        guard.operator_address,
        "/announce",
        {
            "server": "raw",
            "service": "catalogue",
            "version": "1",
            "address": f"127.0.0.1:{port}",
            "slots": 1,
            "connections": 1,
        },
    )
    fleet.wait_for_servers("catalogue", 2)
    fleet.backends[0].process.kill()
    fleet.backends[0].process.wait()
    router = Router(entry.entry_address)
    router._sock.sendall(build_request("/catalogue", TOKEN, "POST"))
    listener.settimeout(10)
    connection, _address = listener.accept()
    connection.recv(10_000)
    connection.sendall(b"HTTP/1.1 200 OK\r\n\r\nperhaps whole")
    connection.close()
    response = router.read_response()
    assert get_refusal(response) == (b"bad-response", b"unknown")
    router.close()
    listener.close()


def test_idle_connections_between_nodes_are_closed_by_the_entry(fleet):
    entry, guard = start_single_server_fleet(fleet, idle_timeout_ms=600)
    router = Router(entry.entry_address)
    for _ in range(2):
        assert router.call(build_request("/catalogue", TOKEN)).status == 200
    router.close()

    def count_callers(node) -> int:
        return fleet.get_json(node.operator_address, "/status")["callers"]

    fleet.wait_for(
        lambda: count_callers(guard) == 1, "the connection between the nodes"
    )
    fleet.wait_for(lambda: count_callers(guard) == 0, "the connection to close")
    assert call(entry.entry_address, "/catalogue", "POST").status == 200
