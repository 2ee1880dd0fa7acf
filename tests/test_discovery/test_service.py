from __future__ import annotations

import msgspec
import pytest
from msgspec.structs import replace

from monsoontray.decisions.announcements import Announcement, AnnouncementEffect
from monsoontray.decisions.directory import ListedNode
from monsoontray.decisions.servers import ServerState
from monsoontray.discovery.departures import MAX_RECOVERY_S
from monsoontray.discovery.messages import (
    DeparturesWritten,
    PublishDepartures,
    PublishNode,
    ServerAnnounced,
    ServerLeft,
    StoreChanged,
    StoreListed,
)
from monsoontray.discovery.service import Discovery, handle_message
from monsoontray.forwarding.messages import (
    NodeLeaving,
    UpdateLocalServers,
    UpdateServers,
)
from monsoontray.kernel.errors import ReplyTimeoutError
from monsoontray.kernel.mailbox import Reply
from monsoontray.store.outcomes import Record
from tests.fakes import FakeKernel
from tests.test_decisions.test_directory import build_node

HEARTBEAT = Announcement("i-1", "one", "v1", 9, ServerState.SERVING, 0.0, 1000, 1)


@pytest.fixture
def kernel():
    return FakeKernel()


@pytest.fixture
def discovery(kernel):
    discovery = Discovery(kernel)
    list_store(discovery)
    kernel.posted.clear()
    return discovery


def list_store(discovery, *records):
    """List the records of the store, and let no other node answer."""
    handle_message(StoreListed(records, 5), discovery)
    discovery.clock.seconds += MAX_RECOVERY_S
    discovery.on_deadline()


def announce(discovery, kernel, **changes):
    reply = Reply(kernel.clock)
    message = ServerAnnounced(replace(HEARTBEAT, **changes), reply)
    handle_message(message, discovery)
    confirm_departures(discovery, kernel)
    return reply.wait(kernel.clock.now())


def confirm_departures(discovery, kernel):
    """Let the store confirm the departures that were written."""
    for message in kernel.posted["publisher"]:
        if isinstance(message, PublishDepartures):
            handle_message(DeparturesWritten(message.value), discovery)


def get_local_servers(kernel):
    messages = kernel.pop_posted("forwarding")
    local_servers = [m for m in messages if isinstance(m, UpdateLocalServers)]
    return local_servers[-1].servers if local_servers else None


def read_published(kernel):
    return [
        msgspec.json.decode(message.value, type=ListedNode)
        for message in kernel.pop_posted("publisher")
        if isinstance(message, PublishNode)
    ]


def test_heartbeat_is_acknowledged_after_the_guard_is_updated(discovery, kernel):
    assert announce(discovery, kernel) is AnnouncementEffect.CHANGED
    (local_server,) = get_local_servers(kernel)
    assert local_server.record.server == "i-1"
    (published,) = read_published(kernel)
    assert published.server.server == "i-1"
    assert announce(discovery, kernel, sequence=2) is AnnouncementEffect.REPEATED
    assert read_published(kernel) == []


def test_departure_is_acknowledged_after_the_guard_is_updated(discovery, kernel):
    announce(discovery, kernel)
    kernel.posted.clear()
    announce(discovery, kernel, sequence=2, state=ServerState.LEAVING)
    (local_server,) = get_local_servers(kernel)
    assert local_server.record.state is ServerState.LEAVING
    assert read_published(kernel)[0].server.leaving
    reply = Reply(kernel.clock)
    handle_message(ServerLeft("i-1", 0, reply), discovery)
    assert get_local_servers(kernel) == ()
    confirm_departures(discovery, kernel)
    assert reply.wait(kernel.clock.now()) is AnnouncementEffect.CHANGED


def test_departure_is_acknowledged_a_little_later_if_the_store_is_out(
    discovery, kernel
):
    announce(discovery, kernel)
    reply = Reply(kernel.clock)
    handle_message(ServerLeft("i-1", HEARTBEAT.born, reply), discovery)
    with pytest.raises(ReplyTimeoutError):
        reply.wait(kernel.clock.now())
    kernel.clock.seconds = discovery.find_next_deadline()
    discovery.on_deadline()
    assert reply.wait(kernel.clock.now()) is AnnouncementEffect.CHANGED
    # Other nodes keep the departure until the store has it.
    for _ in range(3):
        kernel.pop_posted("departure-keepers")
        kernel.clock.seconds = discovery.find_next_deadline()
        discovery.on_deadline()
        (told,) = kernel.pop_posted("departure-keepers")
        assert [each.server for each in told.departures] == ["i-1"]
    confirm_departures(discovery, kernel)
    assert discovery.find_next_deadline() is None


# A heartbeat that was delayed until after a restart brought back a server whose leaving
# the earlier process had acknowledged.
@pytest.mark.parametrize("born", [0, HEARTBEAT.born])
@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("is_late", [False, True])
def test_acknowledged_leaving_binds_the_next_process(kernel, born, leaves, is_late):
    earlier = Discovery(kernel)
    list_store(earlier)
    announce(earlier, kernel)
    if leaves:
        announce(earlier, kernel, sequence=2, state=ServerState.LEAVING)
    else:
        handle_message(ServerLeft("i-1", born, Reply(kernel.clock)), earlier)
    written = [
        message.value
        for message in kernel.pop_posted("publisher")
        if isinstance(message, PublishDepartures)
    ]
    kernel.posted.clear()
    record = Record("departures/node-0", 5, written[-1])
    other = Record("departures/node-1", 5, b"[]")
    later = Discovery(kernel)
    if is_late:
        list_store(later, record, other)
    effect = announce(later, kernel, sequence=9)
    if not is_late:
        list_store(later, record, other)
    else:
        assert effect is AnnouncementEffect.STALE
    local_servers = get_local_servers(kernel)
    assert not local_servers or local_servers[0].record.state is ServerState.LEAVING
    published = read_published(kernel)
    assert all(each.server is None or each.server.leaving for each in published)
    # A new incarnation is used, also under the same id.
    born = HEARTBEAT.born + 120_000
    assert announce(later, kernel, born=born) is AnnouncementEffect.CHANGED


def test_odd_record_of_departures_is_refused(kernel):
    discovery = Discovery(kernel)
    for value in (b"", b"[" * 100_000, b'[["i-1"]]', b'[["i-1",-1,0]]'):
        list_store(discovery, Record("departures/node-0", 5, value))
    assert announce(discovery, kernel) is AnnouncementEffect.CHANGED
    assert get_local_servers(kernel)


def test_late_heartbeat_is_ignored(discovery, kernel):
    announce(discovery, kernel, sequence=5)
    kernel.posted.clear()
    assert announce(discovery, kernel, sequence=4) is AnnouncementEffect.STALE
    assert get_local_servers(kernel) is None


def test_record_of_this_node_is_written_again_after_its_removal(discovery, kernel):
    announce(discovery, kernel)
    kernel.posted.clear()
    removed = Record("nodes/node-0", 9, b"")
    handle_message(StoreChanged((), (removed,), 9), discovery)
    assert len(read_published(kernel)) == 1
    handle_message(StoreListed((), 10), discovery)
    assert len(read_published(kernel)) == 1


def test_invalid_records_are_ignored(discovery, kernel):
    records = [
        Record("nodes/x", 1, b"\xff"),
        Record("nodes/y", 2, b"[]"),
        Record("nodes/a", 3, msgspec.json.encode(build_node("a"))),
    ]
    handle_message(StoreListed(tuple(records), 3), discovery)
    (message,) = [
        m for m in kernel.pop_posted("forwarding") if isinstance(m, UpdateServers)
    ]
    assert message.servers.get_names() == {"i-a"}


def test_stopping_node_publishes_that_it_stops(discovery, kernel):
    handle_message(NodeLeaving(), discovery)
    assert read_published(kernel)[0].stopping


def list_own_record(discovery, record):
    list_store(discovery, record)


def build_own_record(kernel, incarnation, leaving):
    """Return a record that an earlier process of this node has published."""
    node = build_node("node-0", incarnation, leaving=leaving)
    server = replace(node.server, server=HEARTBEAT.server, born=HEARTBEAT.born)
    node = replace(node, server=server)
    return Record("nodes/node-0", 3, msgspec.json.encode(node))


@pytest.mark.parametrize("is_late", [False, True])
def test_restarted_node_does_not_use_a_server_that_had_left(kernel, is_late):
    """A heartbeat that was sent before the server left may arrive after the restart."""
    discovery = Discovery(kernel)
    record = build_own_record(kernel, 1, leaving=True)
    if is_late:
        list_own_record(discovery, record)
    announce(discovery, kernel)
    if not is_late:
        list_own_record(discovery, record)
    local_servers = get_local_servers(kernel)
    assert not local_servers or local_servers[0].record.state is ServerState.LEAVING
    published = read_published(kernel)
    assert all(each.server is None or each.server.leaving for each in published)


def test_record_of_an_earlier_process_is_read_before_it_is_replaced(kernel):
    discovery = Discovery(kernel)
    announce(discovery, kernel)
    assert read_published(kernel) == []
    list_store(discovery)
    (published,) = read_published(kernel)
    assert published.server.server == HEARTBEAT.server


def test_server_that_left_is_published_as_leaving(discovery, kernel):
    announce(discovery, kernel)
    reply = Reply(kernel.clock)
    handle_message(ServerLeft(HEARTBEAT.server, HEARTBEAT.born, reply), discovery)
    published = read_published(kernel)[-1]
    assert (published.server.server, published.server.leaving) == ("i-1", True)


def test_node_whose_clock_went_back_exceeds_its_earlier_incarnation(discovery, kernel):
    announce(discovery, kernel)
    kernel.posted.clear()
    future = 2**62
    list_own_record(discovery, build_own_record(kernel, future, leaving=False))
    assert read_published(kernel)[-1].incarnation == future + 1


def test_own_record_that_another_writer_replaced_is_published_again(discovery, kernel):
    announce(discovery, kernel)
    kernel.posted.clear()
    replaced = Record("nodes/node-0", 9, b"[]")
    handle_message(StoreChanged((replaced,), (), 9), discovery)
    assert read_published(kernel)[-1].server.server == "i-1"
