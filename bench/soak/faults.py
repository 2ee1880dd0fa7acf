"""Inject the faults of a soak from outside the processes."""

from __future__ import annotations

import signal
import time
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from bench.processes import pause_process
from bench.soak.plan import (
    AnnounceLeaving,
    DrainServer,
    EvacuateZone,
    KillBesideColdServer,
    KillNode,
    KillServer,
    LeaveAndRestart,
    PauseNode,
    PauseServer,
    PublishConfiguration,
    RestartBesideLateWrites,
    RestoreStore,
    SendBurst,
    SendFatalRequests,
    SendOddHeartbeat,
    SetServerBehaviour,
    SetStoreBehaviour,
    SetZoneRule,
    SilenceConnections,
    StopNode,
)

if TYPE_CHECKING:
    from bench.mesh import MeshNode
    from bench.soak.runner import Soak

LATE_WRITE_MS, LATE_WRITE_SHARE = 3_000.0, 0.4
COLD_S = 5.0  # time for which a replaced server is cold; longer than most faults


@singledispatch
def begin_fault(action: Any, soak: Soak, node: MeshNode) -> None:
    """Start a fault at a node, its server, its zone or the store."""
    raise TypeError(f"unsupported fault: {action!r}")


@singledispatch
def finish_fault(action: Any, soak: Soak, node: MeshNode) -> None:
    """End a fault; faults without a handler need no action."""


@begin_fault.register(KillNode)
def _(action: KillNode, soak: Soak, node: MeshNode) -> None:
    soak.mesh.fleet.kill_node(node.handle)


@begin_fault.register(StopNode)
def _(action: StopNode, soak: Soak, node: MeshNode) -> None:
    assert node.handle.process is not None
    node.handle.process.send_signal(signal.SIGTERM)


@begin_fault.register(KillBesideColdServer)
def _(action: KillBesideColdServer, soak: Soak, node: MeshNode) -> None:
    soak.kill_server(node)
    soak.start_server(node, cold_s=COLD_S)
    soak.wait_for_calls(node)
    soak.mesh.fleet.kill_node(node.handle)


@finish_fault.register(KillBesideColdServer)
@finish_fault.register(KillNode)
@finish_fault.register(StopNode)
def _(action: Any, soak: Soak, node: MeshNode) -> None:
    soak.restart_node(node)


@begin_fault.register(RestartBesideLateWrites)
def _(action: RestartBesideLateWrites, soak: Soak, node: MeshNode) -> None:
    soak.set_store_behaviour(late_ms=LATE_WRITE_MS, late_share=LATE_WRITE_SHARE)
    soak.mesh.fleet.kill_node(node.handle)
    soak.restart_node(node)


@finish_fault.register(RestartBesideLateWrites)
def _(action: RestartBesideLateWrites, soak: Soak, node: MeshNode) -> None:
    soak.set_store_behaviour()


@begin_fault.register(SendBurst)
def _(action: SendBurst, soak: Soak, node: MeshNode) -> None:
    soak.send_burst(node)


@begin_fault.register(PauseNode)
def _(action: PauseNode, soak: Soak, node: MeshNode) -> None:
    assert node.handle.process is not None
    pause_process(node.handle.process)


@finish_fault.register(PauseNode)
def _(action: PauseNode, soak: Soak, node: MeshNode) -> None:
    assert node.handle.process is not None
    node.handle.process.send_signal(signal.SIGCONT)
    soak.thawed_at.append(time.monotonic())


@begin_fault.register(KillServer)
def _(action: KillServer, soak: Soak, node: MeshNode) -> None:
    soak.kill_server(node)


@begin_fault.register(DrainServer)
def _(action: DrainServer, soak: Soak, node: MeshNode) -> None:
    soak.set_server_behaviour(node, state="draining")


@begin_fault.register(AnnounceLeaving)
def _(action: AnnounceLeaving, soak: Soak, node: MeshNode) -> None:
    soak.set_server_behaviour(node, leaving=True)


@begin_fault.register(SendFatalRequests)
def _(action: SendFatalRequests, soak: Soak, node: MeshNode) -> None:
    soak.send_fatal_requests()


@begin_fault.register(SendOddHeartbeat)
def _(action: SendOddHeartbeat, soak: Soak, node: MeshNode) -> None:
    soak.send_odd_heartbeat(node)


@begin_fault.register(LeaveAndRestart)
def _(action: LeaveAndRestart, soak: Soak, node: MeshNode) -> None:
    soak.deregister_server(node)
    assert node.handle.process is not None
    node.handle.process.send_signal(signal.SIGTERM)


@finish_fault.register(LeaveAndRestart)
def _(action: LeaveAndRestart, soak: Soak, node: MeshNode) -> None:
    soak.restart_node(node)
    soak.send_late_heartbeat(node)
    soak.kill_server(node)
    soak.start_server(node)


@finish_fault.register(SendFatalRequests)
def _(action: SendFatalRequests, soak: Soak, node: MeshNode) -> None:
    soak.start_ended_servers()


@finish_fault.register(KillServer)
@finish_fault.register(DrainServer)
@finish_fault.register(AnnounceLeaving)
def _(action: Any, soak: Soak, node: MeshNode) -> None:
    soak.kill_server(node)
    soak.start_server(node)


@begin_fault.register(PauseServer)
def _(action: PauseServer, soak: Soak, node: MeshNode) -> None:
    assert node.backend is not None
    if node.backend.process.poll() is None:
        pause_process(node.backend.process)


@finish_fault.register(PauseServer)
def _(action: PauseServer, soak: Soak, node: MeshNode) -> None:
    assert node.backend is not None
    node.backend.process.send_signal(signal.SIGCONT)


@begin_fault.register(SetServerBehaviour)
def _(action: SetServerBehaviour, soak: Soak, node: MeshNode) -> None:
    soak.set_server_behaviour(node, **{action.setting: action.value})


@finish_fault.register(SetServerBehaviour)
def _(action: SetServerBehaviour, soak: Soak, node: MeshNode) -> None:
    soak.set_server_behaviour(node)


@begin_fault.register(SetStoreBehaviour)
def _(action: SetStoreBehaviour, soak: Soak, node: MeshNode) -> None:
    soak.set_store_behaviour(**{action.setting: action.value})


@finish_fault.register(SetStoreBehaviour)
def _(action: SetStoreBehaviour, soak: Soak, node: MeshNode) -> None:
    soak.set_store_behaviour()


@begin_fault.register(SetZoneRule)
def _(action: SetZoneRule, soak: Soak, node: MeshNode) -> None:
    soak.set_zone_rule(node.handle.zone, action.rule)


@finish_fault.register(SetZoneRule)
def _(action: SetZoneRule, soak: Soak, node: MeshNode) -> None:
    soak.set_zone_rule(node.handle.zone, "pass")


@begin_fault.register(SilenceConnections)
def _(action: SilenceConnections, soak: Soak, node: MeshNode) -> None:
    link = f"{node.handle.name}-guard"
    soak.mesh.fleet.set_rule("*", link, "silence-established")


@begin_fault.register(PublishConfiguration)
def _(action: PublishConfiguration, soak: Soak, node: MeshNode) -> None:
    soak.publish_configuration()


@begin_fault.register(EvacuateZone)
def _(action: EvacuateZone, soak: Soak, node: MeshNode) -> None:
    soak.mesh.write_key(f"op/evacuate/{node.handle.zone}", {})


@finish_fault.register(EvacuateZone)
def _(action: EvacuateZone, soak: Soak, node: MeshNode) -> None:
    soak.mesh.remove_key(f"op/evacuate/{node.handle.zone}")


@begin_fault.register(RestoreStore)
def _(action: RestoreStore, soak: Soak, node: MeshNode) -> None:
    soak.set_store_behaviour(copy=True)


@finish_fault.register(RestoreStore)
def _(action: RestoreStore, soak: Soak, node: MeshNode) -> None:
    soak.set_store_behaviour(restore=True)
    soak.publish_configuration()  # the operator writes again what was lost
