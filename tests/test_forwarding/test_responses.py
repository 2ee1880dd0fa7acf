from __future__ import annotations

import pytest

from monsoontray.decisions.outcomes import Ran, Reason, Refusal
from monsoontray.decisions.servers import LoadReport
from monsoontray.forwarding.heads import Framing, ResponseHead
from monsoontray.forwarding.http_profile import OWN_PROFILE
from monsoontray.forwarding.refusals import encode_refusal, read_refusal
from monsoontray.forwarding.responses import (
    Accepted,
    BufferedResponse,
    Mismatched,
    classify_response,
    decode_load,
    encode_load,
)
from monsoontray.forwarding.sides import GuardSide, MeshEntrySide
from monsoontray.platform.headers import VOCABULARY

CALL = "9c41"


def build_head(status=200, framing=Framing.LENGTH, **own):
    names = {
        "call": VOCABULARY.call_id,
        "seal": VOCABULARY.seal,
        "not_executed": VOCABULARY.not_executed,
    }
    read = {names[name]: value for name, value in own.items()}
    return ResponseHead(status, [], read, framing, 3, True)


def judge(**kwargs):
    return classify_response(build_head(**kwargs), CALL, VOCABULARY)


def test_a_success_needs_the_seal_and_the_id_of_its_call():
    assert judge(call=b"9c41", seal=b"s") == Accepted()
    assert judge(call=b"9c41") == Refusal(Reason.BAD_RESPONSE, Ran.UNKNOWN)
    assert judge(seal=b"s") == Refusal(Reason.BAD_RESPONSE, Ran.UNKNOWN)
    assert judge(call=b"other", seal=b"s") == Mismatched()


def test_failures_of_the_server_itself_are_passed_on():
    assert judge(status=500, call=b"9c41") == Accepted()


def test_what_a_server_says_it_did_not_run_has_not_run():
    shed = judge(status=503, not_executed=b"1")
    assert shed == Refusal(Reason.SERVER_SHED, Ran.REJECTED)
    assert judge(status=421).reason is Reason.WRONG_SERVER
    assert judge(status=503, call=b"9c41") == Accepted()


def test_unframed_responses_are_allowed_where_the_interface_allows_them():
    unframed = build_head(framing=Framing.UNTIL_CLOSE, call=b"9c41", seal=b"s")
    assert classify_response(unframed, CALL, VOCABULARY) == Accepted()
    refused = classify_response(unframed, CALL, OWN_PROFILE)
    assert refused == Refusal(Reason.BAD_RESPONSE, Ran.UNKNOWN)


def test_a_held_response_without_length_gets_the_length_it_has():
    held = BufferedResponse(build_head(framing=Framing.UNTIL_CLOSE))
    held.add(b"abcd")
    held.complete()
    assert (held.head.framing, held.head.length) == (Framing.LENGTH, 4)


def test_loads_survive_the_wire():
    report = LoadReport(7, 9, 0.125, 0.25)
    name, _, value = encode_load(report).rstrip().partition(b": ")
    head = build_head()
    head.node_headers[name] = value
    assert decode_load(head) == report
    head.node_headers[name] = b"7 x 3"
    assert decode_load(head) is None


@pytest.mark.parametrize("ran", list(Ran))
def test_refusals_survive_the_wire_between_nodes(ran):
    refusal = Refusal(Reason.NO_SLOT, ran, 0.25)
    head = build_head()
    for line in encode_refusal(GuardSide(VOCABULARY), refusal, CALL, False).split(
        b"\r\n"
    ):
        name, _, value = line.partition(b": ")
        head.node_headers[name] = value
    assert read_refusal(head) == refusal


def find_status(refusal):
    side = MeshEntrySide(VOCABULARY, "one")
    return int(encode_refusal(side, refusal, CALL, False)[9:12])


def test_statuses_that_promise_not_run_are_given_only_if_it_is_true():
    assert find_status(Refusal(Reason.NO_SLOT, Ran.NOT_RUN)) == 503
    assert find_status(Refusal(Reason.SERVER_SHED, Ran.REJECTED)) == 503
    for reason in Reason:
        assert find_status(Refusal(reason, Ran.UNKNOWN)) not in (408, 421, 429, 503)
    assert find_status(Refusal(Reason.NO_ROUTE, Ran.NOT_RUN)) == 404
    assert find_status(Refusal(Reason.NO_VERSION, Ran.NOT_RUN)) == 503


def test_a_call_that_has_certainly_not_run_is_said_to_be_so():
    for reason in (Reason.CONNECTION_LOST, Reason.NO_ANSWER, Reason.DEADLINE_PASSED):
        assert find_status(Refusal(reason, Ran.NOT_RUN)) == 503
        assert find_status(Refusal(reason, Ran.UNKNOWN)) in (502, 504)
