"""The task that keeps this node's counts, tells them, and collects all nodes'."""

from __future__ import annotations

import time
from functools import singledispatch
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
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.sockets import SocketTask
from monsoontray.logs import logger
from monsoontray.usage.encoding import (
    UsageAnswer,
    decode_offer,
    encode_answer,
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
from monsoontray.usage.telling import Teller

if TYPE_CHECKING:
    from monsoontray.decisions.duty_steps import Holder
    from monsoontray.kernel.timers import Timer
    from monsoontray.settings.settings import Settings

NAME = "usage"
MIN_TELL_INTERVAL_S = 1.0
#: Random part of a node's first tell after a window, so that not all tell at once.
TELL_SPREAD_SHARE = 0.4  # of the interval
STOP_LIMIT_S = 0.7  # for the last exchanges of a node that stops


class Usage(SocketTask):
    """Task that owns this node's sums, and at the holder those of all nodes."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        self._node = settings.get_string("node")
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
        self._teller = Teller(self, self._random, self._handle_answer)
        self._is_holder = False
        self._check_timer: Timer | None = None
        self._leaving = False
        self._interval_s = MIN_TELL_INTERVAL_S  # as the holder last asked for
        self._told_through = 0  # newest window that the holder has wholly

    def open(self) -> None:
        """Count from now on."""
        self._take()

    def begin_stop(self, deadline: float) -> None:
        """Tell the holder what is left, or another node that tells the next one."""
        self._leaving = True
        self.timers.add(min(deadline, self.now + STOP_LIMIT_S), self.stop_serving)
        self._teller.leave(self._build_usage(), self.stop_serving)

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
            return
        if usage.leaving and not passed_on:
            self._teller.keep(usage)
            self._teller.tell_kept(self._sums.recorded)
        if self._teller.holder is None or passed_on or usage.leaving:
            message.reply.put(b"")
        else:
            self._teller.pass_on(usage, message.reply)

    def handle_holder(self, holder: Holder | None) -> None:
        """Tell a new holder everything that is not recorded."""
        is_new = holder is not None and holder != self._teller.holder
        self._teller.holder = holder
        if is_new and not self._is_holder:
            self.timers.add(self.now + self._compute_spread(), self._tell)

    def begin_term(self, message: DutyHeld) -> None:
        """Collect the counts of all nodes."""
        self._is_holder = True
        self._collector.begin(
            message.recorded,
            message.nodes,
            self._time.estimate(self.now),
            message.may_lack_records,
        )
        self._tell()

    def end_term(self) -> None:
        """Leave the counts to the next holder."""
        self._is_holder = False
        if self._teller.is_own_duty():
            self._teller.holder = None
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
            for each in (usage, *self._teller.get_kept(self._sums.recorded)):
                self._collector.add(each)
            self._check_window()
            return
        self._teller.tell_kept(self._sums.recorded)
        if usage.windows or usage.complete_through > self._told_through:
            self._teller.tell(usage)

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

    def _handle_answer(
        self, usage: NodeUsage, answer: UsageAnswer, was_passed: bool
    ) -> None:
        """Take over what the holder answers."""
        self._told_through = usage.complete_through
        # An answer that waited at another node says nothing of the time.
        if not was_passed:
            self._time.correct(answer.time, self.now)
        self._interval_s = max(answer.interval_s, MIN_TELL_INTERVAL_S)
        self._sums.mark_recorded(answer.recorded)
        self.kernel.post("usage-duty", WindowsRecorded(answer.recorded))

    def _build_answer(self) -> bytes:
        answer = UsageAnswer(
            self._sums.recorded,
            self._time.estimate(self.now),
            self._collector.compute_interval(),
        )
        return encode_answer(answer)

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
