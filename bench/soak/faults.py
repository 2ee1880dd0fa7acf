"""Bring the faults of a soak about, from outside the processes."""

from __future__ import annotations

import signal
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from bench.processes import pause_process
from bench.soak.plan import (
    Configure,
    Evacuate,
    KillNode,
    KillServer,
    PauseNode,
    PauseServer,
    ServerLeaving,
    ServerMisbehaves,
    SilenceOpen,
    StopNode,
    StoreMisbehaves,
    ZoneRule,
)

if TYPE_CHECKING:
    from bench.mesh import MeshNode
    from bench.soak.runner import Soak


@singledispatch
def begin_fault(action: Any, soak: Soak, node: MeshNode) -> None:
    """Bring about a fault of a node or of what belongs to it."""
    raise TypeError(f"no such fault: {action!r}")


@singledispatch
def finish_fault(action: Any, soak: Soak, node: MeshNode) -> None:
    """End a fault; nothing is left to do for one that has passed."""


@begin_fault.register(KillNode)
def _(action: KillNode, soak: Soak, node: MeshNode) -> None:
    soak.mesh.fleet.kill_node(node.handle)


@begin_fault.register(StopNode)
def _(action: StopNode, soak: Soak, node: MeshNode) -> None:
    assert node.handle.process is not None
    node.handle.process.send_signal(signal.SIGTERM)


@finish_fault.register(KillNode)
@finish_fault.register(StopNode)
def _(action: Any, soak: Soak, node: MeshNode) -> None:
    soak.restart_node(node)


@begin_fault.register(PauseNode)
def _(action: PauseNode, soak: Soak, node: MeshNode) -> None:
    assert node.handle.process is not None
    pause_process(node.handle.process)


@finish_fault.register(PauseNode)
def _(action: PauseNode, soak: Soak, node: MeshNode) -> None:
    assert node.handle.process is not None
    node.handle.process.send_signal(signal.SIGCONT)


@begin_fault.register(KillServer)
def _(action: KillServer, soak: Soak, node: MeshNode) -> None:
    soak.kill_server(node)


@begin_fault.register(ServerLeaving)
def _(action: ServerLeaving, soak: Soak, node: MeshNode) -> None:
    soak.mesh.control(node, state="draining")


@finish_fault.register(KillServer)
@finish_fault.register(ServerLeaving)
def _(action: Any, soak: Soak, node: MeshNode) -> None:
    soak.kill_server(node)
    soak.start_server(node)


@begin_fault.register(PauseServer)
def _(action: PauseServer, soak: Soak, node: MeshNode) -> None:
    assert node.backend is not None
    pause_process(node.backend.process)


@finish_fault.register(PauseServer)
def _(action: PauseServer, soak: Soak, node: MeshNode) -> None:
    assert node.backend is not None
    node.backend.process.send_signal(signal.SIGCONT)


@begin_fault.register(ServerMisbehaves)
def _(action: ServerMisbehaves, soak: Soak, node: MeshNode) -> None:
    soak.mesh.control(node, **{action.setting: action.value})


@finish_fault.register(ServerMisbehaves)
def _(action: ServerMisbehaves, soak: Soak, node: MeshNode) -> None:
    soak.mesh.control(node)


@begin_fault.register(StoreMisbehaves)
def _(action: StoreMisbehaves, soak: Soak, node: MeshNode) -> None:
    soak.control_store(**{action.setting: action.value})


@finish_fault.register(StoreMisbehaves)
def _(action: StoreMisbehaves, soak: Soak, node: MeshNode) -> None:
    soak.control_store()


@begin_fault.register(ZoneRule)
def _(action: ZoneRule, soak: Soak, node: MeshNode) -> None:
    soak.set_zone_rule(node.handle.zone, action.rule)


@finish_fault.register(ZoneRule)
def _(action: ZoneRule, soak: Soak, node: MeshNode) -> None:
    soak.set_zone_rule(node.handle.zone, "pass")


@begin_fault.register(SilenceOpen)
def _(action: SilenceOpen, soak: Soak, node: MeshNode) -> None:
    link = f"{node.handle.name}-guard"
    soak.mesh.fleet.set_rule("*", link, "silence-established")


@begin_fault.register(Configure)
def _(action: Configure, soak: Soak, node: MeshNode) -> None:
    soak.configure()


@begin_fault.register(Evacuate)
def _(action: Evacuate, soak: Soak, node: MeshNode) -> None:
    soak.mesh.order(f"op/evacuate/{node.handle.zone}", {})


@finish_fault.register(Evacuate)
def _(action: Evacuate, soak: Soak, node: MeshNode) -> None:
    soak.mesh.take_back(f"op/evacuate/{node.handle.zone}")
