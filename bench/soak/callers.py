"""Callers that keep using their connections whatever happens to the nodes."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, replace
from random import Random

from bench.caller import CutResponseError, Response, Router
from bench.mesh import MeshNode, build_mesh_request

DEADLINE_MS = 2_000
ANSWER_TIMEOUT_S = 4.0  # twice what a caller asks for
PACE_S = 0.03  # between two calls of one caller
RECONNECT_S = 0.1
CUT = 0  # in place of a status: the connection ended without a whole response


@dataclass(slots=True, frozen=True)
class Outcome:
    """Hold what a caller saw of one call."""

    call_id: str
    path: str
    body_bytes: int
    is_order: bool
    node: str
    process: int  # of the node when the call was sent
    sent_at: float
    ended_at: float
    status: int
    seal: str = ""
    named: str = ""  # the call that the response says it belongs to
    content: bytes = b""


class Caller:
    """Own one connection to a node and what came back on it."""

    def __init__(self, node: MeshNode, name: str, newest: list[int], seed: int) -> None:
        self.outcomes: list[Outcome] = []
        self._node = node
        self._name = name
        self._newest = newest  # the version ordered last, as the only item
        self._random = Random(seed)
        self._ended = threading.Event()
        self._router: Router | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start calling."""
        self._thread.start()

    def end(self) -> None:
        """End after the current call."""
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        number = 0
        while not self._ended.wait(PACE_S):
            number += 1
            self._call(f"{self._name}-{number}")
        self._close()

    def _call(self, call_id: str) -> None:
        draw = self._random.random()
        path, method, body = f"/read/{call_id}", "GET", b""
        if draw < 0.4:
            path, method, body = f"/order/{call_id}", "POST", b"x" * 200
        elif draw < 0.5:
            path = f"/v{self._newest[0]}/{call_id}"
        request = build_mesh_request(
            path, call_id, method, body, X_Deadline_Ms=str(DEADLINE_MS)
        )
        process = self._node.handle.process
        sent_at = time.monotonic()
        response = self._exchange(request)
        outcome = Outcome(
            call_id, path, len(body), method == "POST", self._node.handle.name,
            0 if process is None else process.pid, sent_at, time.monotonic(),
            CUT if response is None else response.status,
        )  # fmt: skip
        if response is not None:
            outcome = _complete(outcome, response)
        self.outcomes.append(outcome)

    def _exchange(self, request: bytes) -> Response | None:
        try:
            if self._router is None:
                self._router = Router(self._node.handle.entry, ANSWER_TIMEOUT_S)
            response = self._router.call(request)
        except (OSError, CutResponseError, ValueError):
            self._close()
            self._ended.wait(RECONNECT_S)
            return None
        if response.get_header(b"connection") == b"close":
            self._close()
        return response

    def _close(self) -> None:
        if self._router is not None:
            self._router.close()
            self._router = None


def _complete(outcome: Outcome, response: Response) -> Outcome:

    return replace(
        outcome,
        seal=response.get_header(b"x-response-seal").decode("latin-1"),
        named=response.get_header(b"x-request-id").decode("latin-1"),
        content=response.body,
    )
