"""Exchanges in which a node tells its sums: to the holder, or through another node."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from monsoontray.decisions.usage import KeptSums, NodeUsage
from monsoontray.decoding.errors import DecodingError
from monsoontray.discovery.messages import DescribeNodes
from monsoontray.http.client import HttpRequest
from monsoontray.http.exchanges import HttpExchange
from monsoontray.kernel.errors import KernelError
from monsoontray.logs import logger
from monsoontray.settings.settings import parse_address
from monsoontray.usage.encoding import UsageAnswer, decode_answer, encode_offer

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from monsoontray.decisions.directory import ListedNode
    from monsoontray.decisions.duty_steps import Holder
    from monsoontray.http.client import HttpResponse
    from monsoontray.kernel.mailbox import Reply
    from monsoontray.kernel.sockets import SocketTask
    from monsoontray.settings.settings import Settings

PATH = "/usage-counts"
TIMEOUT_S = 0.3  # of an exchange
MEMBERSHIP_TIMEOUT_S = 0.2
OK_STATUS = 200

#: Handles sums, the holder's answer to them, and whether another node passed them on.
OnAnswer = Callable[[NodeUsage, UsageAnswer, bool], None]


class Teller:
    """Sender of sums; belongs to a task, on whose sockets the exchanges run."""

    __slots__ = (
        "_kept",
        "_kernel",
        "_metrics",
        "_node",
        "_on_answer",
        "_random",
        "_task",
        "_zone",
        "holder",
    )

    def __init__(self, task: SocketTask, random: Random, on_answer: OnAnswer) -> None:
        self._task = task
        self._kernel = task.kernel
        settings: Settings = self._kernel.find("settings").settings
        self._node = settings.get_string("node")
        self._zone = settings.get_string("zone")
        self._metrics = self._kernel.find("metrics")
        self._random = random
        self._on_answer = on_answer
        self._kept = KeptSums()
        self.holder: Holder | None = None

    def is_own_duty(self) -> bool:
        """Return whether this node is the last known holder."""
        return self.holder is not None and self.holder.node == self._node

    def tell(self, usage: NodeUsage) -> None:
        """Tell the holder; go through another node if it does not answer."""
        if self.holder is not None and not self.is_own_duty():
            on_end = partial(self._handle_answer, usage, self._pass_through_another)
            self._post(self.holder.address, encode_offer(usage), on_end)

    def leave(self, usage: NodeUsage, on_end: Callable[[], None]) -> None:
        """Tell the last sums to the holder, and leave them to another node.

        The holder may itself end before they are recorded.
        """
        pending = 0

        def end(response: HttpResponse | None) -> None:
            nonlocal pending
            pending -= 1
            if pending == 0:
                on_end()

        addresses = []
        if self.holder is not None and not self.is_own_duty():
            addresses.append(self.holder.address)
        others = [n.peer_address for n in self._list_others()]
        others = [each for each in others if each not in addresses]
        if others:
            addresses.append(self._random.choice(others))
        offers = [encode_offer(each) for each in (usage, *self._kept.find_untold(0))]
        pending = len(addresses) * len(offers)
        for address in addresses:
            for offer in offers:
                self._post(address, offer, end)
        if not addresses:
            on_end()

    def keep(self, usage: NodeUsage) -> None:
        """Keep the last sums of a node for the holder."""
        self._kept.add(usage)

    def get_kept(self, recorded: int) -> list[NodeUsage]:
        """Return the last sums of nodes that stopped."""
        return self._kept.find_untold(recorded)

    def tell_kept(self, recorded: int) -> None:
        """Give the holder the last sums of nodes that stopped."""
        holder = self.holder
        if holder is None or self.is_own_duty():
            return
        for usage in self._kept.find_untold(recorded, holder.token):
            body = encode_offer(usage, passed_on=True)
            on_end = partial(self._handle_kept, usage, holder.token)
            self._post(holder.address, body, on_end)

    def pass_on(self, usage: NodeUsage, reply: Reply) -> None:
        """Tell the holder for another node, and return its answer to that node."""
        assert self.holder is not None

        def answer(response: HttpResponse | None) -> None:
            is_answer = response is not None and response.status == OK_STATUS
            reply.put(response.body if is_answer and response is not None else b"")

        self._post(self.holder.address, encode_offer(usage, passed_on=True), answer)

    def _handle_answer(
        self,
        usage: NodeUsage,
        on_failure: Callable[[NodeUsage], None] | None,
        response: HttpResponse | None,
    ) -> None:
        answer = self._decode(response)
        if answer is not None:
            self._on_answer(usage, answer, on_failure is None)
        elif on_failure is not None:
            on_failure(usage)

    def _handle_kept(
        self, usage: NodeUsage, token: int, response: HttpResponse | None
    ) -> None:
        if self._decode(response) is not None:
            self._kept.mark_told(usage, token)

    def _pass_through_another(self, usage: NodeUsage) -> None:
        """Tell the holder through a node of a third zone, or of any other one."""
        holder = self.holder
        if holder is None or holder.node == self._node:
            return
        nodes = self._list_others()
        others = [each for each in nodes if each.node != holder.node]
        zones = {each.zone for each in nodes if each.node == holder.node}
        third = [each for each in others if each.zone not in {self._zone, *zones}]
        candidates = third or others
        if candidates:
            chosen = self._random.choice(candidates)
            on_end = partial(self._handle_answer, usage, None)
            self._post(chosen.peer_address, encode_offer(usage), on_end)

    def _list_others(self) -> list[ListedNode]:
        """Return the other nodes that are not stopping."""
        deadline = self._task.clock.now() + MEMBERSHIP_TIMEOUT_S
        try:
            nodes: Sequence[ListedNode] = self._kernel.ask(
                "membership", DescribeNodes, deadline
            )
        except KernelError:
            return []
        return [each for each in nodes if each.node != self._node and not each.stopping]

    def _post(self, address: str, body: bytes, on_end: Any) -> None:
        deadline = self._task.now + TIMEOUT_S
        request = HttpRequest(
            "POST",
            parse_address(address),
            PATH,
            connect_deadline=deadline,
            response_deadline=deadline,
            body=body,
        )
        HttpExchange(self._task, request, on_end)

    def _decode(self, response: HttpResponse | None) -> UsageAnswer | None:
        if response is None or response.status != OK_STATUS or not response.body:
            return None
        try:
            return decode_answer(response.body)
        except DecodingError as error:
            self._metrics.count_refused_entry("usage")
            logger.warning("answer about usage refused: {}", error)
            return None
