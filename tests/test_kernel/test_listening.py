"""Listening sockets of a process that is short of descriptors."""

from __future__ import annotations

import errno
import socket

from monsoontray.kernel import listening as listening_module
from monsoontray.kernel.listening import PAUSE_S, ListeningSocket
from monsoontray.kernel.timers import Timers


class FakeTask:
    """Task that records which sockets it waits for."""

    def __init__(self):
        self.now = 1.0
        self.timers = Timers()
        self.sockets = set()

    def add_socket(self, descriptor, owner, events):
        self.sockets.add(descriptor)

    def remove_socket(self, descriptor):
        self.sockets.discard(descriptor)


def test_socket_is_not_waited_for_while_connections_cannot_be_accepted():
    task, accepted = FakeTask(), []
    listening = ListeningSocket("127.0.0.1", 0, task, accepted.append)
    real_socket = listening._sock

    class Exhausted:
        fileno = real_socket.fileno

        def accept(self):
            raise OSError(errno.EMFILE, "too many open files")

    listening._sock = Exhausted()
    listening.handle_events(listening_module.READABLE)
    assert task.sockets == set()
    listening._sock = real_socket
    task.timers.run_due(task.now + PAUSE_S)
    assert task.sockets == {real_socket.fileno()}
    with socket.create_connection(listening.get_address()):
        listening.handle_events(listening_module.READABLE)
    assert len(accepted) == 1
    accepted[0].close()
    listening.close()
    assert task.sockets == set()
