"""The task that exchanges records of ended servers with other nodes."""

from __future__ import annotations

from functools import partial, singledispatch
from random import Random
from typing import TYPE_CHECKING, Any

from monsoontray.containment.encoding import (
    Offer,
    OfferedRecord,
    compute_digest,
    decode_offer,
    encode_offer,
)
from monsoontray.containment.messages import (
    RecordsLearned,
    RecordsOffered,
    ShareRecords,
)
from monsoontray.decisions.offers import (
    REPAIRED_PEERS,
    TOLD_PEERS,
    choose_peers,
    select_offered,
)
from monsoontray.decisions.servers import Location
from monsoontray.decoding.errors import DecodingError
from monsoontray.discovery.messages import DescribeNodes
from monsoontray.http.client import HttpRequest
from monsoontray.http.exchanges import HttpExchange
from monsoontray.kernel.errors import KernelError
from monsoontray.kernel.kernel import CrashPolicy, Kernel, Registration
from monsoontray.kernel.sockets import SocketTask
from monsoontray.logs import logger
from monsoontray.settings.settings import parse_address

if TYPE_CHECKING:
    from collections.abc import Sequence

    from monsoontray.decisions.directory import ListedNode
    from monsoontray.http.client import HttpResponse
    from monsoontray.kernel.timers import Timer
    from monsoontray.settings.settings import Settings

NAME = "containment-peers"
PATH = "/containment"
TIMEOUT_S = 0.5  # of an exchange
ASK_TIMEOUT_S = 0.2
PUSH_PAUSE_S = 0.1  # between two times at which nodes are told of new records
#: Interval at which this node compares its records with those of other nodes, and the
#: time after a new record, or the start of this process, in which it is short.
REPAIR_INTERVAL_S = 1.0
ACTIVE_S = 15.0
QUIET_REPAIR_INTERVAL_S = 15.0
OK_STATUS = 200


class ContainmentPeers(SocketTask):
    """Task that owns the connections on which nodes tell each other of ended servers.

    A new record is passed on at once to a few nodes, and by each of them to others.
    Nodes that this does not reach learn of it when records are compared.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        self._location = Location(
            settings.get_string("node"),
            settings.get_string("region"),
            settings.get_string("zone"),
        )
        self._random = Random(self._location.node)
        self._values: dict[str, bytes] = {}  # by key
        self._deadlines: dict[str, float] = {}  # when records are forgotten, by key
        self._told: dict[str, bytes] = {}  # the values that other nodes were told of
        self._next_push_at = 0.0
        self._is_push_due = False
        self._active_until = self.now + ACTIVE_S
        self._repair_timer: Timer | None = None

    def open(self) -> None:
        """Schedule the first comparison."""
        self._schedule_repair()

    def share(self, message: ShareRecords) -> None:
        """Replace the records, and tell a few nodes of those that are new."""
        self._values = message.values
        self._deadlines = message.deadlines
        self._told = {
            key: value for key, value in self._told.items() if key in self._values
        }
        if not self._list_untold():
            return
        was_active = self.now < self._active_until
        self._active_until = self.now + ACTIVE_S
        if not was_active:
            self._schedule_repair()  # the scheduled one may be far away
        if not self._is_push_due:
            self._is_push_due = True
            self.timers.add(max(self.now, self._next_push_at), self._push)

    def answer_offer(self, message: RecordsOffered) -> None:
        """Take the records of an offer, and answer with those that it lacks."""
        try:
            offer = decode_offer(message.body)
        except DecodingError as error:
            self._refuse(error)
            message.reply.put(encode_offer(Offer(compute_digest(self._values))))
            return
        self._learn(offer)
        message.reply.put(encode_offer(self._build_offer(offer)))

    def _push(self) -> None:
        """Tell a few nodes of the records of which none was told yet."""
        self._is_push_due = False
        self._next_push_at = self.now + PUSH_PAUSE_S
        untold = self._list_untold()
        keys = select_offered(untold, {}, self._random)
        nodes = self._find_nodes()
        for node in choose_peers(self._location, nodes, self._random, TOLD_PEERS):
            self._offer(node, self._describe(keys))
        for key in keys:
            self._told[key] = untold[key]
        if len(keys) < len(untold):
            self._is_push_due = True
            self.timers.add(self._next_push_at, self._push)

    def _repair(self) -> None:
        """Compare the records with those of a random node here and elsewhere."""
        self._schedule_repair()
        if not self._values and self.now >= self._active_until:
            return
        nodes = self._find_nodes()
        for node in choose_peers(self._location, nodes, self._random, REPAIRED_PEERS):
            self._offer(node, ())

    def _schedule_repair(self) -> None:
        if self._repair_timer is not None:
            self.timers.cancel(self._repair_timer)
        is_active = self.now < self._active_until
        interval_s = REPAIR_INTERVAL_S if is_active else QUIET_REPAIR_INTERVAL_S
        delay_s = interval_s * self._random.uniform(0.5, 1.0)
        self._repair_timer = self.timers.add(self.now + delay_s, self._repair)

    def _offer(self, node: ListedNode, records: tuple[OfferedRecord, ...]) -> None:
        """Send an offer to a node and take the records of its answer."""
        offer = Offer(compute_digest(self._values), records)
        self._send(node, offer, partial(self._handle_answer, node))

    def _handle_answer(self, node: ListedNode, response: HttpResponse | None) -> None:
        """Take the records of an answer, and send those that the other node lacks."""
        if response is None or response.status != OK_STATUS:
            return
        try:
            answer = decode_offer(response.body)
        except DecodingError as error:
            self._refuse(error)
            return
        self._learn(answer)
        missing = self._build_offer(answer)
        if missing.records:
            self._send(node, missing, _ignore)

    def _send(self, node: ListedNode, offer: Offer, on_end: Any) -> None:
        deadline = self.now + TIMEOUT_S
        request = HttpRequest(
            "POST",
            parse_address(node.peer_address),
            PATH,
            connect_deadline=deadline,
            response_deadline=deadline,
            body=encode_offer(offer),
        )
        HttpExchange(self, request, on_end)

    def _learn(self, offer: Offer) -> None:
        """Report the records of an offer that this node does not know."""
        new = [r for r in offer.records if self._values.get(r.key) != r.value]
        if not new:
            return
        values = {record.key: record.value for record in new}
        deadlines = {record.key: self.now + record.remaining_s for record in new}
        self.kernel.post("containment", RecordsLearned(values, deadlines))

    def _build_offer(self, other: Offer) -> Offer:
        """Return the records that a node lacks, as far as its offer shows that."""
        known_there = {record.key: record.value for record in other.records}
        digest = compute_digest({**known_there, **self._values})
        if digest == other.digest:
            return Offer(digest)
        keys = select_offered(self._values, known_there, self._random)
        return Offer(digest, self._describe(keys))

    def _describe(self, keys: Sequence[str]) -> tuple[OfferedRecord, ...]:
        return tuple(
            OfferedRecord(
                key,
                self._values[key],
                max(0.0, self._deadlines.get(key, self.now) - self.now),
            )
            for key in keys
            if key in self._values
        )

    def _list_untold(self) -> dict[str, bytes]:
        return {k: v for k, v in self._values.items() if self._told.get(k) != v}

    def _find_nodes(self) -> Sequence[ListedNode]:
        deadline = self.clock.now() + ASK_TIMEOUT_S
        try:
            nodes: Sequence[ListedNode] = self.kernel.ask(
                "membership", DescribeNodes, deadline
            )
        except KernelError as error:
            logger.warning("cannot get the list of nodes: {}", error)
            return ()
        return nodes

    def _refuse(self, error: DecodingError) -> None:
        self.kernel.find("metrics").count_refused_entry("offer")
        logger.warning("records of another node refused: {}", error)


def _ignore(response: HttpResponse | None) -> None:
    """Ignore a response; what it did not confirm is compared again later."""


@singledispatch
def handle_message(message: Any, peers: ContainmentPeers) -> None:
    """Handle a message to the task."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(ShareRecords)
def _(message: ShareRecords, peers: ContainmentPeers) -> None:
    peers.share(message)


@handle_message.register(RecordsOffered)
def _(message: RecordsOffered, peers: ContainmentPeers) -> None:
    peers.answer_offer(message)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "metrics", "membership")
    registration = Registration(NAME, requires, ContainmentPeers, CrashPolicy.RESTART)
    kernel.register(registration)
