"""Decode what the platform's operator writes, and tell the product."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

from monsoontray.decisions.routing import RouteTable
from monsoontray.discovery.messages import StoreChanged, StoreListed
from monsoontray.forwarding.messages import UpdateEvacuatedZones, UpdateRoutes
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.platform.routes import decode_routes
from monsoontray.rollouts.messages import RolloutOrdered

if TYPE_CHECKING:
    from monsoontray.store.outcomes import Record

NAME = "operator"
CONFIG_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"
ROLLOUT_PREFIX = "op/rollout/"


class RolloutShape(msgspec.Struct, frozen=True):
    """Shape of the order to bring in a version."""

    service: str
    target_version: str
    period_s: float  # time in which it is to be done, from the order on


class Operator(Task):
    """Own what the platform's operator has ordered."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        self._number = 0
        self._evacuated: frozenset[str] = frozenset()

    def list_all(self, records: tuple[Record, ...]) -> None:
        """Take every order that holds."""
        zones = set()
        for record in records:
            if record.key.startswith(EVACUATE_PREFIX):
                zones.add(record.key.removeprefix(EVACUATE_PREFIX))
            else:
                self._take(record)
        self._evacuate(frozenset(zones))

    def take_changes(self, message: StoreChanged) -> None:
        """Take orders that were written or taken back."""
        zones = set(self._evacuated)
        # A key may be removed and written within one batch: the later event holds.
        events = [(record, False) for record in message.records]
        events += [(record, True) for record in message.removed]
        for record, removed in sorted(events, key=lambda event: event[0].revision):
            zone = record.key.removeprefix(EVACUATE_PREFIX)
            if zone == record.key:
                if not removed:
                    self._take(record)
            elif removed:
                zones.discard(zone)
            else:
                zones.add(zone)
        self._evacuate(frozenset(zones))

    def _take(self, record: Record) -> None:
        if record.key == CONFIG_KEY:
            self._take_routes(record)
        elif record.key.startswith(ROLLOUT_PREFIX):
            self._take_rollout(record)

    def _take_routes(self, record: Record) -> None:
        try:
            routes = decode_routes(record.value)
        except (msgspec.DecodeError, ValueError) as error:
            self.kernel.find("metrics").count_refused_version()
            logger.bind(revision=record.revision).error(
                "configuration refused, the one in force stays: {}", error
            )
            return
        if routes.number <= self._number:
            return
        self._number = routes.number
        self.kernel.post("forwarding", UpdateRoutes(RouteTable(routes)))
        self.kernel.find("metrics").set_version(routes.number)
        logger.bind(
            version=routes.number, revision=record.revision, routes=len(routes.routes)
        ).info("configuration in force")

    def _take_rollout(self, record: Record) -> None:
        try:
            shape = msgspec.json.decode(record.value, type=RolloutShape)
        except msgspec.DecodeError as error:
            logger.bind(key=record.key).error("rollout refused: {}", error)
            return
        order = RolloutOrdered(
            record.revision, shape.service, shape.target_version, shape.period_s
        )
        self.kernel.post("rollouts", order)

    def _evacuate(self, zones: frozenset[str]) -> None:
        if zones != self._evacuated:
            self._evacuated = zones
            self.kernel.post("forwarding", UpdateEvacuatedZones(zones))
            logger.bind(zones=sorted(zones)).info("evacuated zones changed")


@singledispatch
def handle_message(message: Any, operator: Operator) -> None:
    """Act on a message."""
    raise TypeError(f"no such message: {message!r}")


@handle_message.register(StoreListed)
def _(message: StoreListed, operator: Operator) -> None:
    operator.list_all(message.records)


@handle_message.register(StoreChanged)
def _(message: StoreChanged, operator: Operator) -> None:
    operator.take_changes(message)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    kernel.register(Registration(NAME, ("settings", "metrics", "rollouts"), Operator))
