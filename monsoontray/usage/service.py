"""The task that keeps this node's counts, tells them, and collects all nodes'."""

from __future__ import annotations

import time
from functools import partial, singledispatch
from random import Random
from typing import TYPE_CHECKING, Any

from monsoontray.decisions.true_time import TrueTime
from monsoontray.decisions.usage import (
    SETTLE_S,
    NodeUsage,
    UsageSums,
    WindowCollector,
)
from monsoontray.decoding.errors import DecodingError
from monsoontray.discovery.messages import DescribeNodes
from monsoontray.http.client import HttpRequest
from monsoontray.http.exchanges import HttpExchange
from monsoontray.kernel.errors import KernelError
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.sockets import SocketTask
from monsoontray.logs import logger
from monsoontray.settings.settings import parse_address
from monsoontray.usage.encoding import (
    UsageAnswer,
    decode_answer,
    decode_offer,
    encode_answer,
    encode_offer,
)
from monsoontray.usage.messages import (
    DutyHeld,
    DutyLost,
    HolderChanged,
    TakeUsage,
    UsageCounted,
    UsageTold,
    WindowCollected,
    WindowsRecorded,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from monsoontray.decisions.directory import ListedNode
    from monsoontray.decisions.duty import Holder
    from monsoontray.http.client import HttpResponse
    from monsoontray.kernel.mailbox import Reply
    from monsoontray.kernel.timers import Timer
    from monsoontray.settings.settings import Settings

NAME = "usage"
PATH = "/usage-counts"
MIN_TELL_INTERVAL_S = 1.0
#: Random part of a node's first tell after a window, so that not all tell at once.
TELL_SPREAD_SHARE = 0.4  # of the interval
TIMEOUT_S = 0.3  # of an exchange
MEMBERSHIP_TIMEOUT_S = 0.2
STOP_LIMIT_S = 0.3  # for the last exchange of a node that stops
OK_STATUS = 200


class Usage(SocketTask):
    """Task that owns this node's sums, and at the holder those of all nodes."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        self._node = settings.get_string("node")
        self._zone = settings.get_string("zone")
        self._window_s = settings.get_float("usage_window_s")
        self._metrics = kernel.find("metrics")
        self._random = Random(self._node)
        self._incarnation = time.time_ns()
        self._sequence = 0
        self._time = TrueTime(self.now, self.clock.wall_time())
        self._sums = UsageSums()
        self._collector = WindowCollector(
            self._window_s, settings.get_float("usage_late_s")
        )
        self._counted_until = self.now  # monotonic seconds
        self._holder: Holder | None = None
        self._is_holder = False
        self._check_timer: Timer | None = None
        self._leaving = False
        self._interval_s = MIN_TELL_INTERVAL_S  # as the holder last asked for
        self._told_through = 0  # newest window that the holder has wholly

    def open(self) -> None:
        """Count from now on."""
        self._take()

    def begin_stop(self, deadline: float) -> None:
        """Tell the holder what is left."""
        self._leaving = True
        self.timers.add(min(deadline, self.now + STOP_LIMIT_S), self.stop_serving)
        if self._is_holder or self._holder is None:
            self.stop_serving()
        else:
            self._send(self._build_usage(), is_last=True)

    def handle_counted(self, message: UsageCounted) -> None:
        """Add what was counted, and tell it."""
        self._time.follow(self.now, self.clock.wall_time())
        late = self._sums.add(message.counts)
        if late > 0:
            self._metrics.count_late_usage(late)
        self._counted_until = message.counted_until
        self._tell()

    def handle_told(self, message: UsageTold) -> None:
        """Keep the sums of another node, or pass them on to the holder."""
        try:
            usage, passed_on = decode_offer(message.body)
        except DecodingError as error:
            self._metrics.count_refused_entry("usage")
            logger.warning("usage of another node refused: {}", error)
            message.reply.put(b"")
            return
        if self._is_holder:
            # A repeat that waited at another node says nothing of the time.
            if not passed_on:
                self._time.add_sample(usage.node, usage.time, self.now)
            self._collector.add(usage)
            message.reply.put(self._build_answer())
            self._check_window()
        elif self._holder is None or passed_on:
            message.reply.put(b"")
        else:
            body = encode_offer(usage, passed_on=True)
            on_end = partial(self._answer_passed, message.reply)
            self._post(self._holder.address, body, on_end)

    def handle_holder(self, holder: Holder | None) -> None:
        """Tell a new holder everything that is not recorded."""
        is_new = holder is not None and holder != self._holder
        self._holder = holder
        if is_new and not self._is_holder:
            self.timers.add(self.now + self._compute_spread(), self._tell)

    def begin_term(self, message: DutyHeld) -> None:
        """Collect the counts of all nodes."""
        self._is_holder = True
        self._collector.begin(
            message.recorded, message.nodes, self._time.estimate(self.now)
        )
        self._tell()

    def end_term(self) -> None:
        """Leave the counts to the next holder."""
        self._is_holder = False
        if self._holder is not None and self._holder.node == self._node:
            self._holder = None
        self._collector.end()

    def mark_recorded(self, recorded: int) -> None:
        """Forget the windows that are recorded."""
        self._sums.mark_recorded(recorded)

    def _take(self) -> None:
        """Ask for new counts now, and again in a second or after the window's end."""
        self.kernel.post("forwarding", TakeUsage(self._time.offset))
        now = self._time.estimate(self.now)
        end = (now // self._window_s + 1) * self._window_s
        after_end = end - now + SETTLE_S + self._compute_spread()
        is_end_near = after_end < 1.5 * self._interval_s
        delay_s = after_end if is_end_near else self._interval_s
        self.timers.add(self.now + delay_s, self._take)

    def _compute_spread(self) -> float:
        return self._random.random() * TELL_SPREAD_SHARE * self._interval_s

    def _tell(self) -> None:
        """Tell the holder this node's sums, if there is something new."""
        usage = self._build_usage()
        if self._is_holder:
            self._collector.add(usage)
            self._check_window()
        elif self._holder is not None and (
            usage.windows or usage.complete_through > self._told_through
        ):
            self._send(usage)

    def _build_usage(self) -> NodeUsage:
        self._sequence += 1
        settled = self._time.estimate(self._counted_until) - SETTLE_S
        return NodeUsage(
            self._node,
            self._incarnation,
            self._sequence,
            self._time.estimate_own(self.now),
            int(settled // self._window_s) - 1,
            self._sums.get_windows(),
            self._leaving,
        )

    def _send(self, usage: NodeUsage, is_last: bool = False) -> None:
        assert self._holder is not None
        body = encode_offer(usage)
        on_end = partial(self._handle_answer, usage, is_last, False)
        self._post(self._holder.address, body, on_end)

    def _post(self, address: str, body: bytes, on_end: Any) -> None:
        deadline = self.now + TIMEOUT_S
        request = HttpRequest(
            "POST",
            parse_address(address),
            PATH,
            connect_deadline=deadline,
            response_deadline=deadline,
            body=body,
        )
        HttpExchange(self, request, on_end)

    def _handle_answer(
        self,
        usage: NodeUsage,
        is_last: bool,
        was_passed: bool,
        response: HttpResponse | None,
    ) -> None:
        """Take over what the holder answers; go through another node if it does not."""
        answer = self._decode_answer(response)
        if answer is not None:
            self._told_through = usage.complete_through
            if not was_passed:
                self._time.correct(answer.time, self.now)
            self._interval_s = max(answer.interval_s, MIN_TELL_INTERVAL_S)
            self._sums.mark_recorded(answer.recorded)
            self.kernel.post("usage-duty", WindowsRecorded(answer.recorded))
        elif not was_passed and not is_last:
            self._pass_through_another(usage)
        if is_last:
            self.stop_serving()

    def _pass_through_another(self, usage: NodeUsage) -> None:
        """Tell the holder through a node of a third zone, or of any other one."""
        holder = self._holder
        if holder is None or self._is_holder:
            return
        others = [
            each
            for each in self._list_nodes()
            if each.node not in (self._node, holder.node) and not each.stopping
        ]
        zones = {each.zone for each in self._list_nodes() if each.node == holder.node}
        third = [each for each in others if each.zone not in {self._zone, *zones}]
        candidates = third or others
        if candidates:
            chosen = self._random.choice(candidates)
            on_end = partial(self._handle_answer, usage, False, True)
            self._post(chosen.peer_address, encode_offer(usage), on_end)

    def _list_nodes(self) -> Sequence[ListedNode]:
        deadline = self.clock.now() + MEMBERSHIP_TIMEOUT_S
        try:
            nodes: Sequence[ListedNode] = self.kernel.ask(
                "membership", DescribeNodes, deadline
            )
        except KernelError:
            return ()
        return nodes

    def _decode_answer(self, response: HttpResponse | None) -> UsageAnswer | None:
        if response is None or response.status != OK_STATUS or not response.body:
            return None
        try:
            return decode_answer(response.body)
        except DecodingError as error:
            self._metrics.count_refused_entry("usage")
            logger.warning("answer about usage refused: {}", error)
            return None

    def _build_answer(self) -> bytes:
        answer = UsageAnswer(
            self._sums.recorded,
            self._time.estimate(self.now),
            self._collector.compute_interval(),
        )
        return encode_answer(answer)

    def _answer_passed(self, reply: Reply, response: HttpResponse | None) -> None:
        """Return the holder's answer to the node that could not reach it."""
        is_answer = response is not None and response.status == OK_STATUS
        reply.put(response.body if is_answer and response is not None else b"")

    def _check_window(self) -> None:
        """Hand over the windows that may be recorded, and wait for the next one."""
        now = self._time.estimate(self.now)
        counts = self._collector.collect(now)
        while counts is not None:
            window = self._collector.window
            assert window is not None
            self.kernel.post("usage-duty", WindowCollected(window, counts))
            self._collector.advance()
            counts = self._collector.collect(now)
        if self._check_timer is not None:
            self.timers.cancel(self._check_timer)
            self._check_timer = None
        due = self._collector.find_next_check(now)
        if due is not None:
            self._check_timer = self.timers.add(
                self.now + max(due - now, 0.0), self._check_window
            )


@singledispatch
def handle_message(message: Any, usage: Usage) -> None:
    """Handle a message."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(UsageCounted)
def _(message: UsageCounted, usage: Usage) -> None:
    usage.handle_counted(message)


@handle_message.register(UsageTold)
def _(message: UsageTold, usage: Usage) -> None:
    usage.handle_told(message)


@handle_message.register(HolderChanged)
def _(message: HolderChanged, usage: Usage) -> None:
    usage.handle_holder(message.holder)


@handle_message.register(DutyHeld)
def _(message: DutyHeld, usage: Usage) -> None:
    usage.begin_term(message)


@handle_message.register(DutyLost)
def _(message: DutyLost, usage: Usage) -> None:
    usage.end_term()


@handle_message.register(WindowsRecorded)
def _(message: WindowsRecorded, usage: Usage) -> None:
    usage.mark_recorded(message.recorded)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    kernel.register(Registration(NAME, ("settings", "metrics", "membership"), Usage))
