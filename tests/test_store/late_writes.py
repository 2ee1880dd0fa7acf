"""A model of a store that does writes late or loses their answers, and of two nodes."""

from __future__ import annotations

from random import Random

from monsoontray.containment.messages import RequestCleared, ServerEnded
from monsoontray.containment.service import ContainmentService
from monsoontray.containment.service import handle_message as handle_containment
from monsoontray.containment.writer import ContainmentWriter
from monsoontray.containment.writer import handle_message as handle_writer
from monsoontray.decisions.announcements import Announcement
from monsoontray.decisions.containment import Clearance, ServerEnd
from monsoontray.decisions.servers import ServerState
from monsoontray.discovery.messages import (
    DescribeNodes,
    ServerAnnounced,
    ServerLeft,
    StoreChanged,
    StoreListed,
)
from monsoontray.discovery.publisher import Publisher
from monsoontray.discovery.publisher import handle_message as handle_publisher
from monsoontray.discovery.service import Discovery
from monsoontray.discovery.service import handle_message as handle_discovery
from monsoontray.kernel.mailbox import Reply
from monsoontray.store.outcomes import Cause, Unknown
from tests.fakes import FakeKernel, MemoryStore

TICK_S = 0.05
DISTURBED_S = 8.0
MAX_LATE_S = 6.0  # PROTOCOL: "may be executed seconds later"
#: Retries and leases come to rest within a few seconds after the last late write.
SETTLED_S = DISTURBED_S + MAX_LATE_S + 6.0
END_S = SETTLED_S + 10.0
BEAT_INTERVAL_S = 1.5
FAULT_SHARE = 0.5  # of the writes while the store is disturbed
FINGERPRINT = "0123456789abcdef" * 2


class LateStore(MemoryStore):
    """Store that does some writes late, and answers some not at all."""

    def __init__(self, clock, random):
        super().__init__(clock)
        self.random = random
        self.is_disturbed = False
        self.late = []  # like ``delayed``, with the times at which they are done
        self.written_at = []  # times of all calls that may write
        self.values = {}  # all values that each key had

    def put(self, key, value, lease_id=""):
        super().put(key, value, lease_id)
        self.values.setdefault(key, []).append(value)

    def commit(self, expected, puts=(), removed=()):
        self.written_at.append(self.clock.now())
        if not self.is_disturbed or self.random.random() >= FAULT_SHARE:
            return self.apply(expected, puts)
        kind = self.random.choice(("late", "late", "answer lost", "lost"))
        if kind == "late":
            due = self.clock.now() + self.random.uniform(0.3, MAX_LATE_S)
            self.late.append((due, dict(expected), tuple(puts)))
        elif kind == "answer lost":
            self.apply(expected, puts)
        return Unknown(Cause.CONNECTION_LOST)

    def run_due(self):
        """End leases, and do the late writes whose conditions still hold."""
        now = self.clock.now()
        for lease in [name for name, end in self.leases.items() if end <= now]:
            self.expire_lease(lease)
        due = [each for each in self.late if each[0] <= now]
        self.late = [each for each in self.late if each[0] > now]
        for _, expected, puts in sorted(due, key=lambda each: each[0]):
            self.apply(expected, puts)


class Node:
    """The tasks of one process that write to the store on their own."""

    def __init__(self, name, store, random):
        self.name = name
        self.store = store
        self.random = random
        self.kernel = FakeKernel(node=name)
        self.kernel.clock = store.clock
        self.kernel.store = store
        publisher, discovery = Publisher(self.kernel), Discovery(self.kernel)
        writer, service = (
            ContainmentWriter(self.kernel),
            ContainmentService(self.kernel),
        )
        self.discovery = discovery
        self.tasks = {
            "publisher": (publisher, handle_publisher),
            "membership": (discovery, handle_discovery),
            "containment-writer": (writer, handle_writer),
            "containment": (service, handle_containment),
        }
        self.revision = None  # up to which the store was read
        self.read_at = store.clock.now() + random.uniform(0.0, 0.3)

    def run(self):
        """Read the store if it is time, and let the tasks do what is due."""
        now = self.kernel.clock.now()
        if now >= self.read_at:
            self.read_at = now + self.random.choice((0.1, 0.4, 0.4, 1.5))
            self._read()
        for _ in range(20):
            self._deliver()
            due = [
                task
                for task, _ in self.tasks.values()
                if (deadline := task.find_next_deadline()) is not None
                and deadline <= now
            ]
            if not due:
                return
            for task in due:
                task.on_deadline()

    def post(self, name, message):
        self.kernel.post(name, message)
        self._deliver()

    def describe(self):
        """Return the record of this node that is in force here."""
        reply = Reply(self.kernel.clock)
        handle_discovery(DescribeNodes(reply), self.discovery)
        nodes = reply.wait(self.kernel.clock.now())
        return next(node for node in nodes if node.node == self.name)

    def _read(self):
        names = {"membership": ("nodes/", "departures/"), "containment": "containment/"}
        if self.revision is None:
            listing = self.store.list_prefix("")
            for name, prefixes in names.items():
                found = tuple(r for r in listing.records if r.key.startswith(prefixes))
                self.kernel.post(name, StoreListed(found, listing.revision))
            self.revision = listing.revision
            return
        changes = self.store.watch_prefix("", self.revision, 0.0)
        self.revision = changes.revision
        for name, prefixes in names.items():
            records, removed = (
                tuple(r for r in each if r.key.startswith(prefixes))
                for each in (changes.records, changes.removed)
            )
            if records or removed:
                message = StoreChanged(records, removed, changes.revision)
                self.kernel.post(name, message)

    def _deliver(self):
        while names := [name for name in self.tasks if self.kernel.posted.get(name)]:
            for name in names:
                task, handle = self.tasks[name]
                for message in self.kernel.pop_posted(name):
                    handle(message, task)


class Server:
    """The backend server beside a node, which may be replaced by a later one."""

    def __init__(self, name, number=1):
        self.name = f"{name}-server"
        self.born = number
        self.sequence = 0
        self.state = ServerState.SERVING
        self.beat_at = 0.0

    def announce(self, node):
        self.sequence += 1
        self.beat_at = node.kernel.clock.now() + BEAT_INTERVAL_S
        announcement = Announcement(
            f"{self.name}-{self.born}",
            "one",
            "v1",
            6,
            self.state,
            0.0,
            self.born,
            self.sequence,
        )
        node.post("membership", ServerAnnounced(announcement, Reply(node.kernel.clock)))


class Play:
    """Some seconds of two nodes, drawn from a seed."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.kernel = FakeKernel()
        self.clock = self.kernel.clock
        self.store = LateStore(self.clock, self.random)
        self.names = ("node-0", "node-1")
        self.nodes = {name: self._start(name) for name in self.names}
        self.servers = {name: Server(name) for name in self.names}
        self.quiet_from = 0.0

    def run(self):
        """Play all of it."""
        begin = self.clock.now()
        self.quiet_from = begin + SETTLED_S
        kinds = self.random.sample(ACTIONS, 2)
        actions = sorted(
            (self.random.uniform(0.0, DISTURBED_S), self.random.choice(kinds))
            for _ in range(self.random.randint(2, 12))
        )
        while (elapsed_s := self.clock.now() - begin) < END_S:
            self.store.is_disturbed = elapsed_s < DISTURBED_S
            self.store.run_due()
            while actions and actions[0][0] <= elapsed_s:
                getattr(self, actions.pop(0)[1])(self.random.choice(self.names))
            for name, node in self.nodes.items():
                if self.servers[name].beat_at <= self.clock.now():
                    self.servers[name].announce(node)
                node.run()
            self.clock.seconds += TICK_S

    def restart(self, name):
        """Kill a process; the next one starts at once."""
        self.nodes[name] = self._start(name)

    def replace_server(self, name):
        """Start a later incarnation of a server without a word of the earlier one."""
        self.servers[name] = Server(name, self.servers[name].born + 1)

    def drain_server(self, name):
        """Let a server leave, and start a later one."""
        server, node = self.servers[name], self.nodes[name]
        server.state = ServerState.LEAVING
        server.announce(node)
        message = ServerLeft(
            f"{server.name}-{server.born}", server.born, Reply(self.clock)
        )
        node.post("membership", message)
        self.replace_server(name)

    def end_server(self, name):
        """Record that a server ended while it ran a request."""
        end = ServerEnd(f"{name}-{self.random.random()}", 1, (FINGERPRINT,))
        self.nodes[name].post("containment", ServerEnded(end))

    def clear_request(self, name):
        """Record that a request completed with which servers had ended."""
        ends = frozenset(
            f"containment/ends/{self.random.getrandbits(64):016x}" for _ in range(2)
        )
        clearance = Clearance(FINGERPRINT, ends)
        self.nodes[name].post("containment", RequestCleared(clearance))

    def _start(self, name):
        return Node(name, self.store, self.random)


ACTIONS = (
    "restart",
    "replace_server",
    "drain_server",
    "end_server",
    "clear_request",
)
