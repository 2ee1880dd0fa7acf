from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from monsoontray.decisions.announcements import Announcement, AnnouncementEffect
from monsoontray.decisions.directory import ListedNode
from monsoontray.decisions.servers import ServerState
from monsoontray.discovery.messages import (
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
from monsoontray.kernel.mailbox import Reply
from monsoontray.store.outcomes import Record
from tests.fakes import Services
from tests.test_decisions.test_directory import build_node

HEARTBEAT = Announcement("i-1", "one", "v1", 9, ServerState.SERVING, 0.0, 1000, 1)


@pytest.fixture
def services():
    return Services()


@pytest.fixture
def discovery(services):
    discovery = Discovery(services)
    discovery.open()
    services.take("publisher")
    return discovery


def announce(discovery, services, **changes):
    reply = Reply(services.clock)
    message = ServerAnnounced(replace(HEARTBEAT, **changes), reply)
    handle_message(message, discovery)
    return reply.wait(services.clock.now())


def find_guarded(services):
    messages = services.take("forwarding")
    guarded = [m for m in messages if isinstance(m, UpdateLocalServers)]
    return guarded[-1].servers if guarded else None


def read_published(services):
    return [
        msgspec.json.decode(message.value, type=ListedNode)
        for message in services.take("publisher")
    ]


def test_a_heartbeat_is_acknowledged_once_the_guard_knows(discovery, services):
    assert announce(discovery, services) is AnnouncementEffect.CHANGED
    (guarded,) = find_guarded(services)
    assert guarded.record.server == "i-1"
    (published,) = read_published(services)
    assert published.server.server == "i-1"
    assert announce(discovery, services, sequence=2) is AnnouncementEffect.REPEATED
    assert read_published(services) == []


def test_leaving_reaches_the_guard_with_the_acknowledgement(discovery, services):
    announce(discovery, services)
    services.posted.clear()
    announce(discovery, services, sequence=2, state=ServerState.LEAVING)
    (guarded,) = find_guarded(services)
    assert guarded.record.state is ServerState.LEAVING
    assert read_published(services)[0].server.leaving
    reply = Reply(services.clock)
    handle_message(ServerLeft("i-1", 0, reply), discovery)
    assert reply.wait(services.clock.now()) is AnnouncementEffect.CHANGED
    assert find_guarded(services) == ()


def test_a_late_heartbeat_changes_nothing(discovery, services):
    announce(discovery, services, sequence=5)
    services.posted.clear()
    assert announce(discovery, services, sequence=4) is AnnouncementEffect.STALE
    assert find_guarded(services) is None


def test_an_own_record_that_is_gone_is_written_again(discovery, services):
    announce(discovery, services)
    services.posted.clear()
    gone = Record("nodes/node-0", 9, b"")
    handle_message(StoreChanged((), (gone,), 9), discovery)
    assert len(read_published(services)) == 1
    handle_message(StoreListed((), 10), discovery)
    assert len(read_published(services)) == 1


def test_records_that_can_not_be_read_name_no_server(discovery, services):
    records = [
        Record("nodes/x", 1, b"\xff"),
        Record("nodes/y", 2, b"[]"),
        Record("nodes/a", 3, msgspec.json.encode(build_node("a"))),
    ]
    handle_message(StoreListed(tuple(records), 3), discovery)
    (message,) = [
        m for m in services.take("forwarding") if isinstance(m, UpdateServers)
    ]
    assert message.servers.get_names() == {"i-a"}


def test_a_stopping_node_says_so(discovery, services):
    handle_message(NodeLeaving(), discovery)
    assert read_published(services)[0].stopping
