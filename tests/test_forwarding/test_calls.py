"""Test calls through real nodes and back ends."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor

from bench.caller import Router, build_request
from bench.processes import read_peak_rss_mb, read_rss_mb
from tests.fleets import TOKEN, call, get_observed, get_refusal

MB = 1_000_000
LARGE_MB = 300
MAX_RSS_GROWTH_MB = 30.0


def test_every_node_serves_calls(three_nodes):
    for node in three_nodes.nodes:
        response = call(node.entry_address, "/catalogue/linen")
        assert response.status == 200
        assert response.body.startswith(b"GET /catalogue/linen 0")


def test_server_in_same_zone_is_preferred(three_nodes):
    responses = [
        call(three_nodes.nodes[1].entry_address, "/catalogue/linen") for _ in range(10)
    ]
    assert {response.get_header(b"x-server") for response in responses} == {
        b"catalogue-1"
    }


def test_body_arrives_complete_in_both_framings(three_nodes):
    body = b"scan" * 5_000
    response = call(
        three_nodes.nodes[2].entry_address, "/catalogue/scan", "POST", body=body
    )
    assert response.body.startswith(b"POST /catalogue/scan 20000")
    chunked = build_request(
        "/catalogue/scan", TOKEN, "POST", Transfer_Encoding="chunked"
    )
    router = Router(three_nodes.nodes[2].entry_address)
    response = router.call(chunked + b"5\r\nhello\r\n3\r\nyou\r\n0\r\n\r\n")
    assert response.body.startswith(b"POST /catalogue/scan 8")
    router.close()


def test_refusals_carry_reason_and_not_run(three_nodes):
    entry = three_nodes.nodes[0].entry_address
    router = Router(entry)
    cases = [
        (build_request("/other", TOKEN), 403, b"not-in-plan"),
        (build_request("/catalogue"), 401, b"no-credentials"),
        (build_request("/catalogue", "stranger"), 401, b"unknown-customer"),
        (build_request("/nowhere/x", TOKEN), 503, b"no-server"),
        (build_request("/catalogue/../x", TOKEN), 400, b"bad-request"),
        (build_request("/other", TOKEN, "POST", b"body"), 403, b"not-in-plan"),
    ]
    for request, status, reason in cases:
        response = router.call(request)
        assert response.status == status
        assert get_refusal(response) == (reason, b"not-run")
        refusal_body = json.loads(response.body)
        assert (refusal_body["refused"].encode(), refusal_body["ran"]) == (
            reason,
            "not-run",
        )
    assert router.call(build_request("/catalogue", TOKEN)).status == 200
    router.close()


def test_refusals_are_counted_by_reason(three_nodes):
    node = three_nodes.nodes[2]

    def read_count():
        url = f"http://{node.operator_address}/metrics"
        text = three_nodes.http.request("GET", url).data.decode()
        wanted = 'monsoontray_refusals_total{ran="not-run",reason="not-in-plan"} '
        for line in text.splitlines():
            if line.startswith(wanted):
                return float(line.removeprefix(wanted))
        return 0.0

    before = read_count()
    call(node.entry_address, "/other")
    assert read_count() == before + 1


def test_pipelined_requests_are_answered_in_order(three_nodes):
    router = Router(three_nodes.nodes[2].entry_address)
    paths = [f"/catalogue/{i}" for i in range(20)]
    router._sock.sendall(b"".join(build_request(path, TOKEN) for path in paths))
    buffered = b""
    while buffered.count(b"GET /catalogue/") < len(paths):
        part = router._sock.recv(65_536)
        assert part
        buffered += part
    seen = [line for line in buffered.split(b"\n") if line.startswith(b"GET ")]
    found = [line.split()[1].decode() for line in seen]
    assert found == paths
    router.close()


def test_call_id_is_kept_or_generated(three_nodes):
    entry = three_nodes.nodes[2].entry_address
    given = call(entry, "/catalogue", Monsoontray_Call_Id="mine")
    assert given.get_header(b"monsoontray-call-id") == b"mine"
    generated = {
        call(entry, "/catalogue").get_header(b"monsoontray-call-id") for _ in range(5)
    }
    assert len(generated) == 5


def test_responses_to_head_have_no_body(three_nodes):
    router = Router(three_nodes.nodes[2].entry_address)
    router._sock.sendall(build_request("/catalogue/linen", TOKEN, "HEAD"))
    head = router._sock.recv(65_536)
    assert head.endswith(b"\r\n\r\n")
    assert router.call(build_request("/catalogue", TOKEN)).status == 200
    router.close()


def test_deadline_ends_local_and_forwarded_calls(three_nodes):
    for node in (three_nodes.nodes[0], three_nodes.nodes[2]):
        response = call(
            node.entry_address, "/slow", "POST", Monsoontray_Timeout_Ms="60"
        )
        assert response.status == 504
        assert get_refusal(response) == (b"deadline-passed", b"unknown")


def test_slots_are_never_exceeded(three_nodes):
    before = get_observed(three_nodes, "slow-0")
    requests = [
        (three_nodes.nodes[i % 3].entry_address, "/slow", "POST") for i in range(12)
    ]
    with ThreadPoolExecutor(12) as pool:
        responses = list(pool.map(lambda arguments: call(*arguments), requests))
    after = get_observed(three_nodes, "slow-0")
    assert [response.status for response in responses] == [200] * 12
    assert after["most_at_once"] <= 2
    assert after["over_capacity"] == before["over_capacity"] == 0


def test_full_queue_refuses_calls_and_none_runs_twice(three_nodes):
    before = get_observed(three_nodes, "slow-0")["calls"]
    with ThreadPoolExecutor(40) as pool:
        entry = three_nodes.nodes[2].entry_address
        responses = list(pool.map(lambda _: call(entry, "/slow", "POST"), range(40)))
    served = sum(response.status == 200 for response in responses)
    refused = [response for response in responses if response.status != 200]
    assert get_observed(three_nodes, "slow-0")["calls"] - before == served
    assert refused
    assert {get_refusal(response) for response in refused} == {(b"no-slot", b"not-run")}


def test_caller_disconnect_cancels_call_at_back_end(three_nodes):
    before = get_observed(three_nodes, "slow-0")["cancelled"]
    for node in (three_nodes.nodes[0], three_nodes.nodes[2]):
        router = Router(node.entry_address)
        calls_before = get_observed(three_nodes, "slow-0")["calls"]
        router._sock.sendall(build_request("/slow", TOKEN, "POST"))
        three_nodes.wait_for(
            lambda n=calls_before: get_observed(three_nodes, "slow-0")["calls"] > n,
            "the call to start",
        )
        router.close()
    three_nodes.wait_for(
        lambda: get_observed(three_nodes, "slow-0")["cancelled"] == before + 2,
        "two cancellations",
    )


def test_large_bodies_use_bounded_memory(three_nodes):
    entry, guard = three_nodes.nodes[2], three_nodes.nodes[1]
    pids = [node.process.pid for node in (entry, guard, three_nodes.nodes[0])]
    before = {pid: read_rss_mb(pid) for pid in pids}
    router = Router(entry.entry_address)
    head = build_request(
        "/catalogue/scan", TOKEN, "POST", Content_Length=str(LARGE_MB * MB)
    )
    router._sock.sendall(head)
    part = bytes(MB)
    for _ in range(LARGE_MB):
        router._sock.sendall(part)
    response = router.read_response()
    assert response.body.startswith(f"POST /catalogue/scan {LARGE_MB * MB}".encode())
    for framing in ("length", "chunked"):
        path = f"/catalogue/scan?size={LARGE_MB * MB}&framing={framing}"
        router._sock.sendall(build_request(path, TOKEN))
        received = 0
        while received < LARGE_MB * MB:
            part_length = len(router._sock.recv(MB))
            assert part_length
            received += part_length
        router.close()
        router = Router(entry.entry_address)
    router.close()
    growth = {pid: read_peak_rss_mb(pid) - before[pid] for pid in pids}
    assert max(growth.values()) < MAX_RSS_GROWTH_MB


def test_caller_may_expect_continue_before_sending_body(three_nodes):
    router = Router(three_nodes.nodes[2].entry_address)
    head = build_request(
        "/catalogue", TOKEN, "POST", Content_Length="5", Expect="100-continue"
    )
    router._sock.sendall(head)
    assert router._sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
    assert router.call(b"hello").body.startswith(b"POST /catalogue 5")
    refused = build_request(
        "/other", TOKEN, "POST", Content_Length="500000", Expect="100-continue"
    )
    assert router.call(refused).status == 403
    router.close()
