"""Encoding of exchanges between nodes as protobuf messages."""

from __future__ import annotations

from msgspec import Struct

from monsoontray.decisions.fleet import NodeRecord, NodeState, Stamp
from monsoontray.decisions.marks import Mark
from monsoontray.decisions.servers import ServerRecord, ServerState
from monsoontray.membership import peer_pb2
from monsoontray.membership.errors import MalformedExchangeError
from monsoontray.plans.model import VersionName
from monsoontray.settings.settings import parse_address


class Exchange(Struct, frozen=True):
    """Content of one gossip message."""

    sender: str
    version: VersionName
    digest: int
    records: tuple[NodeRecord, ...] = ()
    stamps: tuple[Stamp, ...] = ()
    wanted: tuple[str, ...] = ()
    repair: bool = False
    marks: tuple[Mark, ...] = ()


def encode_exchange(exchange: Exchange) -> peer_pb2.Exchange:
    """Return an exchange as a message."""
    return peer_pb2.Exchange(
        sender=exchange.sender,
        version=encode_version_name(exchange.version),
        digest=exchange.digest,
        records=[_encode_record(record) for record in exchange.records],
        stamps=[_encode_stamp(stamp) for stamp in exchange.stamps],
        wanted=exchange.wanted,
        repair=exchange.repair,
        marks=[_encode_mark(mark) for mark in exchange.marks],
    )


def decode_exchange(message: peer_pb2.Exchange) -> Exchange:
    """Return the exchange in a message; raise MalformedExchangeError."""
    try:
        return Exchange(
            sender=message.sender,
            version=decode_version_name(message.version),
            digest=message.digest,
            records=tuple(_decode_record(record) for record in message.records),
            stamps=tuple(_decode_stamp(stamp) for stamp in message.stamps),
            wanted=tuple(message.wanted),
            repair=message.repair,
            marks=tuple(_decode_mark(mark) for mark in message.marks),
        )
    except ValueError as error:
        raise MalformedExchangeError(str(error)) from error


def encode_version_name(name: VersionName) -> peer_pb2.VersionName:
    """Return a version name as a message."""
    return peer_pb2.VersionName(number=name.number, digest=name.digest)


def decode_version_name(message: peer_pb2.VersionName) -> VersionName:
    """Return the version name in a message."""
    return VersionName(message.number, message.digest)


def _encode_record(record: NodeRecord) -> peer_pb2.Node:
    return peer_pb2.Node(
        node=record.node,
        region=record.region,
        zone=record.zone,
        guard_address=record.guard_address,
        peer_address=record.peer_address,
        incarnation=record.incarnation,
        sequence=record.sequence,
        state=int(record.state),
        servers=[_encode_server(server) for server in record.servers],
        watching=record.watching,
        waiting_routes=record.waiting_routes,
    )


def _decode_record(message: peer_pb2.Node) -> NodeRecord:
    if not message.node:
        raise ValueError("record has no node name")
    parse_address(message.guard_address)
    parse_address(message.peer_address)
    return NodeRecord(
        node=message.node,
        region=message.region,
        zone=message.zone,
        guard_address=message.guard_address,
        peer_address=message.peer_address,
        incarnation=message.incarnation,
        sequence=message.sequence,
        state=NodeState(message.state),
        servers=tuple(_decode_server(server) for server in message.servers),
        watching=message.watching,
        waiting_routes=tuple(message.waiting_routes),
    )


def _encode_server(record: ServerRecord) -> peer_pb2.Server:
    return peer_pb2.Server(
        server=record.server,
        service=record.service,
        version=record.version,
        resources=record.resources,
        slots=record.slots,
        connections=record.connections,
        leaving=record.state is ServerState.LEAVING,
    )


def _decode_server(message: peer_pb2.Server) -> ServerRecord:
    if not message.slots or not message.connections:
        raise ValueError(f"server {message.server!r} has no slots or connections")
    return ServerRecord(
        server=message.server,
        service=message.service,
        version=message.version,
        resources=tuple(message.resources),
        slots=message.slots,
        connections=message.connections,
        state=ServerState.LEAVING if message.leaving else ServerState.SERVING,
    )


def _encode_mark(mark: Mark) -> peer_pb2.Mark:
    return peer_pb2.Mark(
        node=mark.node, incarnation=mark.incarnation, number=mark.number
    )


def _decode_mark(message: peer_pb2.Mark) -> Mark:
    return Mark(message.node, message.incarnation, message.number)


def _encode_stamp(stamp: Stamp) -> peer_pb2.Stamp:
    return peer_pb2.Stamp(
        node=stamp.node,
        incarnation=stamp.incarnation,
        sequence=stamp.sequence,
        state=int(stamp.state),
    )


def _decode_stamp(message: peer_pb2.Stamp) -> Stamp:
    return Stamp(
        message.node, message.incarnation, message.sequence, NodeState(message.state)
    )
