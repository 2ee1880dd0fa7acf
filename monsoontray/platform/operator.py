"""Decode and apply the orders that the platform's operator writes to the store."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

import msgspec

from monsoontray.decisions.evacuations import Evacuations
from monsoontray.decisions.freshness import Rewriting
from monsoontray.decisions.routing import RouteTable
from monsoontray.decoding.documents import decode_json
from monsoontray.decoding.errors import DecodingError
from monsoontray.decoding.refusals import EntryRefusals
from monsoontray.decoding.values import Label, Name, Seconds
from monsoontray.discovery.messages import StoreChanged, StoreListed, StoreProven
from monsoontray.forwarding.messages import (
    RoutesProven,
    UpdateEvacuatedZones,
    UpdateRoutes,
)
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.logs import logger
from monsoontray.platform.routes import decode_routes
from monsoontray.rollouts.messages import RolloutOrdered
from monsoontray.store.eras import get_era

if TYPE_CHECKING:
    from monsoontray.store.outcomes import Record

NAME = "operator"
CONFIG_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"
ROLLOUT_PREFIX = "op/rollout/"


class RolloutOrderSchema(msgspec.Struct, frozen=True):
    """JSON schema of an order to roll out a version."""

    service: Name
    target_version: Label
    period_s: Seconds  # time from the order until the rollout should be complete


class OperatorOrders(Task):
    """Task that applies the current orders of the platform's operator."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        metrics = kernel.find("metrics")
        self._refused_configurations = EntryRefusals(metrics, "configuration")
        self._refused_rollouts = EntryRefusals(metrics, "rollout-order")
        self._version = 0
        self._evacuated_zones: frozenset[str] = frozenset()
        self._evacuations = Evacuations()
        self.rewriting = Rewriting()

    def find_next_deadline(self) -> float | None:
        """Return when an evacuation ends that was not ordered again."""
        return self._evacuations.find_next_deadline()

    def on_deadline(self) -> None:
        """End the evacuations that were not ordered again."""
        self._evacuations.expire(self.clock.now())
        self._update_evacuated_zones()

    def handle_listing(self, records: tuple[Record, ...], revision: int) -> None:
        """Apply all orders in the store."""
        zones = set()
        for record in records:
            if record.key.startswith(EVACUATE_PREFIX):
                zones.add(record.key.removeprefix(EVACUATE_PREFIX))
            else:
                self._apply_order(record)
        self._evacuations.replace(zones, get_era(revision), self.clock.now())
        self._update_evacuated_zones()

    def handle_changes(self, message: StoreChanged) -> None:
        """Apply orders that were written or removed."""
        # One message may report that a key was removed and written again: apply
        # the events in the order of their revisions, so that the last one prevails.
        events = [(record, False) for record in message.records]
        events += [(record, True) for record in message.removed]
        for record, removed in sorted(events, key=lambda event: event[0].revision):
            zone = record.key.removeprefix(EVACUATE_PREFIX)
            if zone == record.key:  # not an evacuation: the prefix is missing
                if not removed:
                    self._apply_order(record)
            else:
                self._evacuations.change(zone, not removed)
        self._update_evacuated_zones()

    def _apply_order(self, record: Record) -> None:
        if record.key == CONFIG_KEY:
            self._apply_configuration(record)
        elif record.key.startswith(ROLLOUT_PREFIX):
            self._apply_rollout_order(record)

    def _apply_configuration(self, record: Record) -> None:
        try:
            routes = decode_routes(record.value)
        except DecodingError as error:
            self.kernel.find("metrics").count_refused_version()
            self._refused_configurations.report(record, error)
            return
        if routes.number <= self._version:
            return
        self._version = routes.number
        self.kernel.post("forwarding", UpdateRoutes(RouteTable(routes)))
        self.kernel.find("metrics").set_version(routes.number)
        logger.bind(
            version=routes.number,
            revision=record.revision,
            routes=len(routes.routes),
            public_routes=sum(route.public for route in routes.routes),
            customers=None if routes.customers is None else len(routes.customers),
        ).info("configuration in force")

    def _apply_rollout_order(self, record: Record) -> None:
        try:
            rollout = decode_rollout_order(record.value)
        except DecodingError as error:
            self._refused_rollouts.report(record, error)
            return
        order = RolloutOrdered(
            record.revision, rollout.service, rollout.target_version, rollout.period_s
        )
        self.kernel.post("rollouts", order)

    def _update_evacuated_zones(self) -> None:
        zones = self._evacuations.get_zones()
        if zones != self._evacuated_zones:
            self._evacuated_zones = zones
            self.kernel.post("forwarding", UpdateEvacuatedZones(zones))
            logger.bind(zones=sorted(zones)).info("evacuated zones changed")


def decode_rollout_order(value: bytes) -> RolloutOrderSchema:
    """Return an order to roll out a version; raise DecodingError."""
    order: RolloutOrderSchema = decode_json(value, RolloutOrderSchema)
    return order


@singledispatch
def handle_message(message: Any, orders: OperatorOrders) -> None:
    """Handle a message to the operator task."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(StoreListed)
def _(message: StoreListed, orders: OperatorOrders) -> None:
    now = orders.clock.now()
    orders.rewriting.see(message.revision, message.records, CONFIG_KEY, now)
    orders.handle_listing(message.records, message.revision)


@handle_message.register(StoreChanged)
def _(message: StoreChanged, orders: OperatorOrders) -> None:
    now = orders.clock.now()
    orders.rewriting.see(message.revision, message.records, CONFIG_KEY, now)
    orders.handle_changes(message)


@handle_message.register(StoreProven)
def _(message: StoreProven, orders: OperatorOrders) -> None:
    # The orders that the proof covers were posted before.
    if orders.rewriting.is_over(orders.clock.now()):
        orders.kernel.post("forwarding", RoutesProven(message.proof))


def setup(kernel: Kernel) -> None:
    """Register the service."""
    kernel.register(
        Registration(NAME, ("settings", "metrics", "rollouts"), OperatorOrders)
    )
