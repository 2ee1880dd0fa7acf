"""Encoding of the duty's records and of what nodes tell its holder."""

from __future__ import annotations

from typing import Annotated

import msgspec

from monsoontray.decisions.duty_steps import Holder, Ledger
from monsoontray.decisions.usage import MAX_CUSTOMERS, MAX_WINDOWS, NodeUsage
from monsoontray.decoding.documents import decode_json, decode_msgpack
from monsoontray.decoding.values import Name, SequenceNumber, Timestamp

LEDGER_KEY = "usage/ledger"
MAX_TIME_S = 1e11
MAX_INTERVAL_S = 3_600.0

CustomerCounts = Annotated[
    dict[Name, Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31)]],
    msgspec.Meta(max_length=MAX_CUSTOMERS),
]


class UsageOffer(msgspec.Struct, frozen=True, array_like=True):
    """Sums of a node; the field order is the format."""

    node: Name
    incarnation: Timestamp
    sequence: SequenceNumber
    time: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TIME_S)]
    complete_through: SequenceNumber
    windows: Annotated[
        dict[SequenceNumber, CustomerCounts], msgspec.Meta(max_length=MAX_WINDOWS)
    ]
    leaving: bool = False
    passed_on: bool = False  # by another node than the one that counted


class UsageAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer of the holder; the field order is the format."""

    recorded: SequenceNumber
    time: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TIME_S)]
    interval_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_INTERVAL_S)]


def encode_holder(holder: Holder) -> bytes:
    """Return the value of the holder's record."""
    return msgspec.json.encode(holder)


def decode_holder(value: bytes) -> Holder:
    """Return the holder; raise DecodingError."""
    holder: Holder = decode_json(value, Holder)
    return holder


def encode_ledger(ledger: Ledger) -> bytes:
    """Return the value of the ledger's record."""
    return msgspec.json.encode(ledger)


def decode_ledger(value: bytes) -> Ledger:
    """Return the ledger; raise DecodingError."""
    ledger: Ledger = decode_json(value, Ledger)
    return ledger


def encode_offer(usage: NodeUsage, passed_on: bool = False) -> bytes:
    """Return a node's sums as MessagePack."""
    offer = UsageOffer(
        usage.node,
        usage.incarnation,
        usage.sequence,
        usage.time,
        usage.complete_through,
        usage.windows,
        usage.leaving,
        passed_on,
    )
    return msgspec.msgpack.encode(offer)


def decode_offer(data: bytes) -> tuple[NodeUsage, bool]:
    """Return a node's sums, and whether they were passed on; raise DecodingError."""
    offer: UsageOffer = decode_msgpack(data, UsageOffer)
    usage = NodeUsage(
        offer.node,
        offer.incarnation,
        offer.sequence,
        offer.time,
        offer.complete_through,
        offer.windows,
        offer.leaving,
    )
    return usage, offer.passed_on


def encode_answer(answer: UsageAnswer) -> bytes:
    """Return the holder's answer as MessagePack."""
    return msgspec.msgpack.encode(answer)


def decode_answer(data: bytes) -> UsageAnswer:
    """Return the holder's answer; raise DecodingError."""
    answer: UsageAnswer = decode_msgpack(data, UsageAnswer)
    return answer
