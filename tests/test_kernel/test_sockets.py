from __future__ import annotations

import socket
import threading

from monsoontray.kernel.clock import SystemClock
from monsoontray.kernel.kernel import Kernel
from monsoontray.kernel.mailbox import Reply
from monsoontray.kernel.sockets import READABLE, SocketTask


class Echo:
    """A socket owner that echoes what arrives."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def handle_events(self, events: int) -> None:
        self.sock.send(self.sock.recv(100))


def answer(message, task):
    message.put(threading.current_thread().name)


def test_sockets_messages_and_timers_are_handled_in_one_thread():
    kernel = Kernel(SystemClock())
    task = SocketTask("echo", kernel, answer)
    near, far = socket.socketpair()
    task.add_socket(far.fileno(), Echo(far), READABLE)
    fired = Reply(kernel.clock)
    task.timers.add(
        kernel.clock.now(), lambda: fired.put(threading.current_thread().name)
    )
    task.start()
    near.settimeout(5.0)
    near.send(b"hello")
    assert near.recv(100) == b"hello"
    deadline = kernel.clock.now() + 5.0
    assert fired.wait(deadline) == "echo"
    reply = Reply(kernel.clock)
    task.post(reply)
    assert reply.wait(deadline) == "echo"
    task.stop(deadline)
    task.post("after the stop")  # must not raise


def test_an_idle_task_polls_only_when_something_is_due():
    kernel = Kernel(SystemClock())
    task = SocketTask("idle", kernel, answer)
    task.timers.add(kernel.clock.now() + 3600.0, lambda: None)
    polls: list[float] = []
    poll = task._epoll.poll

    class CountingEpoll:
        def __getattr__(self, name):
            return getattr(task_epoll, name)

        def poll(self, timeout):
            polls.append(timeout)
            return poll(timeout)

    task_epoll = task._epoll
    task._epoll = CountingEpoll()
    task.start()
    reply = Reply(kernel.clock)
    task.post(reply)
    reply.wait(kernel.clock.now() + 5.0)
    task.stop(kernel.clock.now() + 5.0)
    assert len(polls) <= 3
    assert min(polls) > 1000.0
