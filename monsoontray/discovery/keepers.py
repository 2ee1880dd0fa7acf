"""The task through which nodes keep departures for each other."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from monsoontray.decisions.departures import KeptDepartures
from monsoontray.decisions.offers import ASKED_KEEPERS, KEEPERS, choose_keepers
from monsoontray.decisions.servers import Location
from monsoontray.decoding.errors import DecodingError
from monsoontray.discovery.encoding import (
    DepartureOffer,
    decode_departure_offer,
    encode_departure_offer,
)
from monsoontray.discovery.messages import (
    DeparturesOffered,
    DeparturesRecovered,
    KeepDepartures,
    RecoverDepartures,
)
from monsoontray.http.client import HttpRequest
from monsoontray.http.exchanges import HttpExchange
from monsoontray.kernel.kernel import CrashPolicy, Kernel, Registration
from monsoontray.kernel.sockets import SocketTask
from monsoontray.logs import logger
from monsoontray.settings.settings import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from monsoontray.decisions.announcements import Departure
    from monsoontray.decisions.directory import ListedNode
    from monsoontray.http.client import HttpResponse
    from monsoontray.settings.settings import Settings

NAME = "departure-keepers"
PATH = "/departures"
TIMEOUT_S = 0.3  # of an exchange
OK_STATUS = 200


class DepartureKeepers(SocketTask):
    """Task that owns the departures kept for other nodes, and sockets to keepers.

    The store may not have a departure before the process that acknowledged it ends.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        self._location = Location(
            settings.get_string("node"),
            settings.get_string("region"),
            settings.get_string("zone"),
        )
        self._kept = KeptDepartures()
        #: Keepers that were asked for this node's departures, by name and incarnation.
        self._asked: set[tuple[str, int]] = set()
        self._unanswered = 0

    def keep(self, message: KeepDepartures) -> None:
        """Tell this node's departures to its keepers."""
        for node in choose_keepers(self._location, message.nodes, KEEPERS):
            self._send(node, message.departures, _ignore)

    def recover(self, message: RecoverDepartures) -> None:
        """Ask the keepers for departures that earlier processes acknowledged."""
        chosen = choose_keepers(self._location, message.nodes, ASKED_KEEPERS)
        nodes = [n for n in chosen if (n.node, n.incarnation) not in self._asked]
        self._unanswered += len(nodes)
        for node in nodes:
            self._asked.add((node.node, node.incarnation))
            self._send(node, (), self._handle_answer)

    def answer_offer(self, message: DeparturesOffered) -> None:
        """Keep the departures of a node, and answer with all that are kept for it."""
        try:
            offer = decode_departure_offer(message.body)
        except DecodingError as error:
            self._refuse(error)
            message.reply.put(b"")
            return
        self._kept.add(offer.node, offer.departures, self.now)
        kept = self._kept.find(offer.node, self.now)
        message.reply.put(encode_departure_offer(DepartureOffer(offer.node, kept)))

    def _send(
        self,
        node: ListedNode,
        departures: tuple[Departure, ...],
        on_end: Callable[[HttpResponse | None], object],
    ) -> None:
        deadline = self.now + TIMEOUT_S
        request = HttpRequest(
            "POST",
            parse_address(node.peer_address),
            PATH,
            connect_deadline=deadline,
            response_deadline=deadline,
            body=encode_departure_offer(
                DepartureOffer(self._location.node, departures)
            ),
        )
        HttpExchange(self, request, on_end)

    def _handle_answer(self, response: HttpResponse | None) -> None:
        """Report the departures of an answer, and whether it is the last one."""
        self._unanswered -= 1
        departures: tuple[Departure, ...] = ()
        if response is not None and response.status == OK_STATUS:
            try:
                departures = decode_departure_offer(response.body).departures
            except DecodingError as error:
                self._refuse(error)
        is_last = self._unanswered == 0
        self.kernel.post("membership", DeparturesRecovered(departures, is_last))

    def _refuse(self, error: DecodingError) -> None:
        self.kernel.find("metrics").count_refused_entry("departures")
        logger.warning("departures of another node refused: {}", error)


def _ignore(response: HttpResponse | None) -> None:
    """Ignore a response; departures are told again until the store has them."""


@singledispatch
def handle_message(message: Any, keepers: DepartureKeepers) -> None:
    """Handle a message to the task."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(KeepDepartures)
def _(message: KeepDepartures, keepers: DepartureKeepers) -> None:
    keepers.keep(message)


@handle_message.register(RecoverDepartures)
def _(message: RecoverDepartures, keepers: DepartureKeepers) -> None:
    keepers.recover(message)


@handle_message.register(DeparturesOffered)
def _(message: DeparturesOffered, keepers: DepartureKeepers) -> None:
    keepers.answer_offer(message)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "metrics")
    registration = Registration(NAME, requires, DepartureKeepers, CrashPolicy.RESTART)
    kernel.register(registration)
