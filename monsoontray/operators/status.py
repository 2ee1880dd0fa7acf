"""Build the status page from the states of membership, forwarding and configuration."""

from __future__ import annotations

from collections import Counter

from monsoontray import __version__
from monsoontray.configuration.messages import ConfigurationState
from monsoontray.decisions.fleet import NodeRecord, NodeState
from monsoontray.forwarding.messages import ForwardingState
from monsoontray.membership.messages import FleetState
from monsoontray.operators.schemas import NodeStatus, ServerStatus, Status, ZoneStatus


def build_status(
    fleet: FleetState, forwarding: ForwardingState, configuration: ConfigurationState
) -> Status:
    """Return the status of the fleet."""
    records = sorted(fleet.records, key=lambda each: (each.zone, each.node))
    return Status(
        node=fleet.own,
        software=__version__,
        version=configuration.name.number,
        digest=configuration.name.digest,
        refused=configuration.refused,
        callers=forwarding.callers,
        calls=forwarding.calls,
        slots_in_use=forwarding.slots_in_use,
        waiting=forwarding.waiting,
        zones=_summarize_zones(records, fleet.versions),
        nodes=tuple(
            _describe_node(record, fleet.versions.get(record.node, 0))
            for record in records
        ),
    )


def _summarize_zones(
    records: list[NodeRecord], node_versions: dict[str, int]
) -> tuple[ZoneStatus, ...]:
    alive = [record for record in records if record.state is not NodeState.DEAD]
    highest = max((node_versions.get(record.node, 0) for record in alive), default=0)
    names = sorted({(record.region, record.zone) for record in alive})
    zones = []
    for region, zone in names:
        members = [r for r in alive if (r.region, r.zone) == (region, zone)]
        node_counts = Counter(
            str(node_versions.get(record.node, 0)) for record in members
        )
        behind = [r.node for r in members if node_versions.get(r.node, 0) < highest]
        zones.append(
            ZoneStatus(
                f"{region}/{zone}", len(members), dict(node_counts), tuple(behind)
            )
        )
    return tuple(zones)


def _describe_node(record: NodeRecord, version: int) -> NodeStatus:
    servers = tuple(
        ServerStatus(
            server=server.server,
            service=server.service,
            version=server.version,
            state=server.state.value,
            slots=server.slots,
        )
        for server in record.servers
    )
    return NodeStatus(
        node=record.node,
        region=record.region,
        zone=record.zone,
        state=record.state.name.lower(),
        version=version,
        watching=record.watching,
        waiting_routes=record.waiting_routes,
        servers=servers,
    )
