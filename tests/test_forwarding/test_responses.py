from __future__ import annotations

import pytest

from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.decisions.servers import LoadReport
from monsoontray.forwarding.heads import Framing, ResponseHead
from monsoontray.forwarding.http_profile import OWN_PROFILE
from monsoontray.forwarding.refusals import (
    classify_refusal,
    decode_refusal,
    encode_refusal,
)
from monsoontray.forwarding.responses import (
    Accepted,
    BufferedResponse,
    Mismatched,
    classify_response,
    decode_load,
    encode_load,
)
from monsoontray.forwarding.routes import LOAD_HEADER, RUN_TIME_HEADER
from monsoontray.forwarding.sides import GuardSide, MeshEntrySide
from monsoontray.platform.headers import PLATFORM_PROFILE

CALL = "9c41"


def build_head(status=200, framing=Framing.LENGTH, **values):
    names = {
        "call": PLATFORM_PROFILE.call_id,
        "seal": PLATFORM_PROFILE.seal,
        "not_executed": PLATFORM_PROFILE.not_executed,
    }
    node_headers = {names[name]: value for name, value in values.items()}
    return ResponseHead(status, [], node_headers, framing, 3, True)


def classify(**kwargs):
    return classify_response(build_head(**kwargs), CALL, PLATFORM_PROFILE)


def test_a_successful_response_needs_a_seal_and_its_call_id():
    assert classify(call=b"9c41", seal=b"s") == Accepted()
    assert classify(call=b"9c41") == Refusal(Reason.BAD_RESPONSE, Ran.UNKNOWN)
    assert classify(seal=b"s") == Refusal(Reason.BAD_RESPONSE, Ran.UNKNOWN)
    assert classify(call=b"other", seal=b"s") == Mismatched()


def test_error_responses_of_the_server_are_forwarded():
    assert classify(status=500, call=b"9c41") == Accepted()


def test_a_response_marked_not_executed_means_the_call_was_rejected():
    shed = classify(status=503, call=b"9c41", not_executed=b"1")
    assert shed == Refusal(Reason.SERVER_SHED, Ran.REJECTED)
    misdirected = classify(status=421, call=b"9c41")
    assert misdirected == Refusal(Reason.WRONG_SERVER, Ran.REJECTED)
    assert classify(status=503, call=b"9c41") == Accepted()


@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_a_refusal_proves_nothing_about_a_call_that_it_does_not_name(status):
    unknown = Refusal(Reason.BAD_RESPONSE, Ran.UNKNOWN)
    assert classify(status=status, not_executed=b"1") == unknown
    assert classify(status=status, call=b"other", not_executed=b"1") == Mismatched()


def build_guard_head(refusal, call_id):
    head = build_head()
    encoded = encode_refusal(GuardSide(PLATFORM_PROFILE), refusal, call_id, False)
    for line in encoded.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        head.node_headers[name] = value
    return head


def test_a_refusal_of_another_node_proves_only_that_the_named_call_did_not_run():
    not_run = Refusal(Reason.NO_SLOT, Ran.NOT_RUN, 0.25)
    assert classify_refusal(build_guard_head(not_run, CALL), CALL) == not_run
    assert classify_refusal(build_guard_head(not_run, "other"), CALL) == Mismatched()
    unproven = classify_refusal(build_guard_head(not_run, ""), CALL)
    assert unproven == Refusal(Reason.BAD_RESPONSE, Ran.UNKNOWN)
    assert classify_refusal(build_head(), CALL) is None


def test_only_the_platform_interface_accepts_responses_without_a_length():
    until_close = build_head(framing=Framing.UNTIL_CLOSE, call=b"9c41", seal=b"s")
    assert classify_response(until_close, CALL, PLATFORM_PROFILE) == Accepted()
    refused = classify_response(until_close, CALL, OWN_PROFILE)
    assert refused == Refusal(Reason.BAD_RESPONSE, Ran.UNKNOWN)


def test_a_buffered_response_without_length_gets_its_length_at_the_end():
    buffered = BufferedResponse(build_head(framing=Framing.UNTIL_CLOSE))
    buffered.add(b"abcd")
    buffered.complete()
    assert (buffered.head.framing, buffered.head.length) == (Framing.LENGTH, 4)


def set_load_headers(head, report):
    for line in encode_load(report).split(b"\r\n")[:-1]:
        name, _, value = line.partition(b": ")
        head.node_headers[name] = value


@pytest.mark.parametrize(("run_s", "wait_s"), [(0.0, 0.25), (0.0215, 0.0), (12.5, 3)])
def test_a_load_report_is_unchanged_by_encoding_and_decoding(run_s, wait_s):
    report = LoadReport(7, 9, 0.125, 0.25, run_s, wait_s)
    head = build_head()
    set_load_headers(head, report)
    assert decode_load(head) == report
    head.node_headers[LOAD_HEADER] = b"7 x 3"
    assert decode_load(head) is None


def test_an_invalid_time_of_the_route_counts_as_unknown():
    head = build_head()
    set_load_headers(head, LoadReport(7, 9, 0.125, 0.25, 0.02))
    for value in (b"-1.0", b"nan", b"1e9", b""):
        head.node_headers[RUN_TIME_HEADER] = value
        assert decode_load(head) == LoadReport(7, 9, 0.125, 0.25)


@pytest.mark.parametrize("ran", list(Ran))
def test_a_refusal_between_nodes_is_unchanged_by_encoding_and_decoding(ran):
    refusal = Refusal(Reason.NO_SLOT, ran, 0.25)
    assert decode_refusal(build_guard_head(refusal, CALL)) == refusal


def find_status(refusal):
    side = MeshEntrySide(PLATFORM_PROFILE, "one")
    return int(encode_refusal(side, refusal, CALL, False)[9:12])


def test_statuses_that_mean_not_run_are_sent_only_for_calls_that_did_not_run():
    assert find_status(Refusal(Reason.NO_SLOT, Ran.NOT_RUN)) == 503
    assert find_status(Refusal(Reason.SERVER_SHED, Ran.REJECTED)) == 503
    for reason in Reason:
        assert find_status(Refusal(reason, Ran.UNKNOWN)) not in (408, 421, 429, 503)
    assert find_status(Refusal(Reason.NO_ROUTE, Ran.NOT_RUN)) == 404
    assert find_status(Refusal(Reason.NO_VERSION, Ran.NOT_RUN)) == 503


def test_a_call_that_did_not_run_is_reported_as_not_run():
    for reason in (Reason.CONNECTION_LOST, Reason.NO_ANSWER, Reason.DEADLINE_PASSED):
        assert find_status(Refusal(reason, Ran.NOT_RUN)) == 503
        assert find_status(Refusal(reason, Ran.UNKNOWN)) in (502, 504)
