"""The task that claims and holds the duty, records windows and sends reports."""

from __future__ import annotations

import math
from functools import singledispatch
from random import Random
from typing import TYPE_CHECKING, Any

from monsoontray.decisions.duty import Duty
from monsoontray.decisions.duty_steps import (
    ClaimDuty,
    DutyRead,
    GrantLease,
    Ledger,
    ReadDuty,
    RecordWindow,
    RenewLease,
    ReportAccepted,
    ReportFailed,
    SendReport,
)
from monsoontray.decoding.errors import DecodingError
from monsoontray.decoding.refusals import EntryRefusals
from monsoontray.discovery.encoding import USAGE_HOLDER_KEY as HOLDER_KEY
from monsoontray.discovery.messages import DescribeNodes, StoreChanged, StoreListed
from monsoontray.http.client import HttpClient
from monsoontray.http.errors import RequestError
from monsoontray.kernel.errors import KernelError
from monsoontray.kernel.kernel import Kernel, Registration
from monsoontray.kernel.task import Task
from monsoontray.logs import logger
from monsoontray.platform.usage import build_request
from monsoontray.store.outcomes import Cause, Listing, NotDone, Put
from monsoontray.usage.encoding import (
    LEDGER_KEY,
    decode_holder,
    decode_ledger,
    encode_holder,
    encode_ledger,
)
from monsoontray.usage.messages import (
    DutyHeld,
    DutyLost,
    HolderChanged,
    WindowCollected,
    WindowsRecorded,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from monsoontray.decisions.directory import ListedNode
    from monsoontray.decisions.duty_steps import Holder
    from monsoontray.settings.settings import Settings
    from monsoontray.store.client import StoreClient
    from monsoontray.store.outcomes import Record

NAME = "usage-duty"
PREFIX = "usage/"
STORE_TIMEOUT_S = 0.5  # short, so that a lost answer does not cost the lease
MEMBERSHIP_TIMEOUT_S = 0.5
MAX_IDLE_CONNECTIONS = 1
OK_STATUS = 200


class UsageDuty(Task):
    """Task that owns the lease, the ledger and the connections they need."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(NAME, kernel, handle_message)
        settings: Settings = kernel.find("settings").settings
        self.client: StoreClient = kernel.find("store").open_client(
            "usage", STORE_TIMEOUT_S
        )
        self._http = HttpClient(kernel.clock, MAX_IDLE_CONNECTIONS)
        self._report_address = settings.get_address("usage_address")
        self._node = settings.get_string("node")
        self.metrics = kernel.find("metrics")
        self._refusals = EntryRefusals(self.metrics, "usage")
        self.duty = Duty(
            self._node,
            settings.get_string("peer_address"),
            settings.get_float("usage_takeover_s"),
            1.0 / settings.get_float("usage_reports_per_s"),
            self.clock.now(),
            Random(self._node),
        )
        self._was_held = False
        self._recorded = 0  # as last posted to the service that collects

    def find_next_deadline(self) -> float | None:
        """Return when the next step may be due."""
        due = self.duty.find_next_deadline(self.clock.now())
        return None if math.isinf(due) else due

    def on_deadline(self) -> None:
        """Take the next step, if one is due."""
        step = self.duty.choose_step(self.clock.now())
        if step is not None:
            outcome = run_step(step, self)
            self.duty.apply(step, outcome, self.clock.now())
        self._report_changes()

    def handle_records(self, records: Sequence[Record], is_listing: bool) -> None:
        """Handle the record of the holder."""
        for record in records:
            if record.key == HOLDER_KEY:
                holder = self._decode_holder(record)
                if holder is None:
                    self.duty.see_holder(True, self.clock.now())
                else:
                    self.duty.raise_floor(holder.token, 0)
                    self.duty.see_claim(holder, self.clock.now())
                self.kernel.post("usage", HolderChanged(holder))
                return
        if is_listing:
            self.handle_release()

    def handle_release(self) -> None:
        """Try to take over after the others that come first."""
        if not self.duty.is_held:
            self.duty.rank = self._find_rank()
        self.duty.see_holder(False, self.clock.now())
        self.kernel.post("usage", HolderChanged(None))

    def read_duty(self) -> DutyRead | NotDone:
        """Read the holder and the ledger at one moment."""
        listing = self.client.list_prefix(PREFIX)
        if not isinstance(listing, Listing):
            return listing
        records = {record.key: record for record in listing.records}
        holder, ledger, holder_revision, ledger_revision = None, Ledger(), 0, 0
        if HOLDER_KEY in records:
            holder_revision = records[HOLDER_KEY].revision
            holder = self._decode_holder(records[HOLDER_KEY])
        if LEDGER_KEY in records:
            record = records[LEDGER_KEY]
            ledger_revision = record.revision
            try:
                ledger = decode_ledger(record.value)
            except DecodingError as error:
                self._refusals.report(record, error)
                return NotDone(Cause.BAD_RESPONSE)
        return DutyRead(holder, holder_revision, ledger, ledger_revision)

    def send(self, report: SendReport) -> ReportAccepted | ReportFailed:
        """Send a report, unless it would arrive after the lease."""
        if self.clock.now() >= report.deadline:
            return ReportFailed()
        log = logger.bind(window=report.usage.window, token=report.token)
        try:
            response = self._http.send(build_request(report, self._report_address))
        except RequestError as error:
            self.metrics.count_usage_report("failed")
            log.bind(cause=str(error)).warning("usage report failed")
            return ReportFailed()
        if response.status != OK_STATUS:
            self.metrics.count_usage_report("refused")
            log.bind(status=response.status).warning("usage report refused")
            return ReportFailed()
        self.metrics.count_usage_report("accepted")
        log.bind(calls=sum(report.usage.counts.values())).info("usage reported")
        return ReportAccepted()

    def close(self) -> None:
        """Release the duty if nothing of this node can still arrive."""
        if self.duty.is_held and self.duty.may_release(self.clock.now()):
            self.client.revoke_lease(self.duty.get_lease_id())
        self._http.close()
        self.client.close()

    def _report_changes(self) -> None:
        is_held, recorded = self.duty.is_held, self.duty.recorded
        if is_held is not self._was_held:
            self._was_held = is_held
            log = logger.bind(token=self.duty.token)
            if is_held:
                log.info("this node reports usage")
                nodes = tuple(each.node for each in self._list_nodes())
                may_lack_records = self.duty.may_lack_records
                if may_lack_records:
                    log.warning("records of usage may be lost: windows are left out")
                held = DutyHeld(recorded, nodes, may_lack_records)
                self.kernel.post("usage", held)
            else:
                log.warning("this node no longer reports usage")
                self.kernel.post("usage", DutyLost())
        if recorded != self._recorded:
            self._recorded = recorded
            self.kernel.post("usage", WindowsRecorded(recorded))

    def _find_rank(self) -> int:
        """Return how many nodes come first: those with fast links, then by name."""
        nodes = [each for each in self._list_nodes() if not each.stopping]
        nodes.sort(key=lambda each: (-each.link_mbps, each.node))
        names = [each.node for each in nodes]
        return names.index(self._node) if self._node in names else len(names)

    def _list_nodes(self) -> Sequence[ListedNode]:
        deadline = self.clock.now() + MEMBERSHIP_TIMEOUT_S
        try:
            nodes: Sequence[ListedNode] = self.kernel.ask(
                "membership", DescribeNodes, deadline
            )
        except KernelError:
            return ()
        return nodes

    def _decode_holder(self, record: Record) -> Holder | None:
        try:
            return decode_holder(record.value)
        except DecodingError as error:
            self._refusals.report(record, error)
            return None


@singledispatch
def run_step(step: Any, task: UsageDuty) -> Any:
    """Return the outcome of a step."""
    raise TypeError(f"unsupported step: {step!r}")


@run_step.register(ReadDuty)
def _(step: ReadDuty, task: UsageDuty) -> Any:
    return task.read_duty()


@run_step.register(GrantLease)
def _(step: GrantLease, task: UsageDuty) -> Any:
    return task.client.grant_lease(step.lifetime_s)


@run_step.register(ClaimDuty)
def _(step: ClaimDuty, task: UsageDuty) -> Any:
    expected = {HOLDER_KEY: 0, LEDGER_KEY: step.ledger_revision}
    puts = (
        Put(HOLDER_KEY, encode_holder(step.holder), step.holder.lease_id),
        Put(LEDGER_KEY, encode_ledger(step.ledger)),
    )
    return task.client.commit(expected, puts)


@run_step.register(RenewLease)
def _(step: RenewLease, task: UsageDuty) -> Any:
    return task.client.renew_lease(step.lease_id, step.lifetime_s)


@run_step.register(RecordWindow)
def _(step: RecordWindow, task: UsageDuty) -> Any:
    expected = {
        HOLDER_KEY: step.holder_revision,
        LEDGER_KEY: step.ledger_revision,
    }
    return task.client.commit(expected, (Put(LEDGER_KEY, encode_ledger(step.ledger)),))


@run_step.register(SendReport)
def _(step: SendReport, task: UsageDuty) -> Any:
    return task.send(step)


@singledispatch
def handle_message(message: Any, task: UsageDuty) -> None:
    """Handle a message."""
    raise TypeError(f"unsupported message: {message!r}")


@handle_message.register(StoreListed)
def _(message: StoreListed, task: UsageDuty) -> None:
    task.handle_records(message.records, is_listing=True)


@handle_message.register(StoreChanged)
def _(message: StoreChanged, task: UsageDuty) -> None:
    written = {record.key: record.revision for record in message.records}
    removed = [
        record
        for record in message.removed
        if record.key == HOLDER_KEY and record.revision > written.get(HOLDER_KEY, 0)
    ]
    if removed:
        task.handle_release()
    else:
        task.handle_records(message.records, is_listing=False)


@handle_message.register(WindowCollected)
def _(message: WindowCollected, task: UsageDuty) -> None:
    task.duty.add_collected(message.window, message.counts)


@handle_message.register(WindowsRecorded)
def _(message: WindowsRecorded, task: UsageDuty) -> None:
    task.duty.raise_floor(0, message.recorded)


def setup(kernel: Kernel) -> None:
    """Register the service."""
    requires = ("settings", "metrics", "store", "membership", "usage")
    kernel.register(Registration(NAME, requires, UsageDuty))
