"""Callers that send calls throughout a soak and record the outcomes."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from bench.caller import CutResponseError, Response, Router
from bench.mesh import MeshNode, build_chunked_request, build_mesh_request

DEADLINE_MS = 2_000
RESPONSE_TIMEOUT_S = 4.0  # twice the deadline of a call
CALL_INTERVAL_S = 0.03  # between two calls of one caller, in a fleet of usual size
RECONNECT_DELAY_S = 0.1
UPLOAD_BYTES = 60_000
UPLOAD_PIECES = 4
UPLOAD_PAUSE_S = 0.02  # between two pieces
PIPELINED_CALLS = 3  # sent at once by a caller that pipelines
#: Of callers that stop reading within a response.
RECEIVE_BUFFER_BYTES = 4_096
LARGE_ANSWER_BYTES = 30_000
LARGE_UPLOAD_BYTES = 600_000  # more than the buffers up to a server hold
MAX_PAUSE_S = 3.0
SLOW_DEADLINE_MS = 5_000
NO_RESPONSE = 0  # status of a call without a complete response


@dataclass(slots=True, frozen=True)
class Outcome:
    """Outcome of one call, as seen by its caller."""

    call_id: str
    path: str
    body_bytes: int
    is_order: bool  # not idempotent: must run at most once
    node: str
    pid: int  # of the node's process when the call was sent
    sent_at: float
    ended_at: float
    status: int
    seal: str = ""
    response_call_id: str = ""  # call id in the response
    content: bytes = b""
    answer_bytes: int = 0  # size up to which the response was to be filled


def build_key(number: int) -> str:
    """Return a customer's key, the newest in the version with that number."""
    return f"key-{number}"


class Caller:
    """Thread that sends calls to a node over one connection, which it reopens."""

    def __init__(
        self,
        node: MeshNode,
        name: str,
        latest_version: list[int],
        seed: int,
        interval_s: float = CALL_INTERVAL_S,
        pipelines: bool = False,
        has_keys: bool = False,
    ) -> None:
        self.outcomes: list[Outcome] = []
        self._node = node
        self._name = name
        self._latest_version = latest_version  # a single element, updated by the soak
        self._random = Random(seed)
        self._interval_s = interval_s
        self._pipelines = pipelines  # sends further reads before the first is answered
        self._has_keys = has_keys
        self._stopped = threading.Event()
        self._router: Router | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sending calls."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current call and wait for the end."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        number = 0
        while not self._stopped.wait(self._interval_s):
            number += 1
            if self._pipelines:
                self._call_pipelined(f"{self._name}-{number}")
            else:
                self._call(f"{self._name}-{number}")
        self._close()

    def _call_pipelined(self, name: str) -> None:
        """Send several reads at once, and read the responses in this order.

        Those behind a response that closes the connection get none.
        """
        call_ids = [f"{name}-{i}" for i in range(PIPELINED_CALLS)]
        unanswered = [self._begin_outcome(each, f"/read/{each}") for each in call_ids]
        requests = [
            build_mesh_request(
                each.path, each.call_id, "GET", b"", X_Deadline_Ms=str(DEADLINE_MS)
            )
            for each in unanswered
        ]
        try:
            router = self._connect()
            router.send(b"".join(requests))
            while unanswered and self._router is not None:
                response = router.read_response()
                outcome = replace(unanswered.pop(0), ended_at=time.monotonic())
                self.outcomes.append(_add_response(outcome, response))
                self._close_if_asked(response)
        except (OSError, CutResponseError, ValueError):
            self._handle_loss()
        ended_at = time.monotonic()
        self.outcomes += [replace(each, ended_at=ended_at) for each in unanswered]

    def _begin_outcome(
        self, call_id: str, path: str, body_bytes: int = 0, is_order: bool = False
    ) -> Outcome:
        """Return the outcome of a call that is sent now and has no response yet."""
        process = self._node.handle.process
        now = time.monotonic()
        return Outcome(
            call_id, path, body_bytes, is_order, self._node.handle.name,
            0 if process is None else process.pid, now, now, NO_RESPONSE,
        )  # fmt: skip

    def _call(self, call_id: str) -> None:
        draw = self._random.random()
        path, method, body = f"/read/{call_id}", "GET", b""
        if draw < 0.4:
            path, method, body = f"/order/{call_id}", "POST", b"x" * 200
        elif draw < 0.5:
            path = f"/v{self._latest_version[0]}/{call_id}"
        elif draw < 0.6:
            path, method = f"/order/upload-{call_id}", "POST"
            body = self._random.randbytes(UPLOAD_BYTES)
        build: Callable[..., bytes] = build_mesh_request
        headers = {"X_Deadline_Ms": str(DEADLINE_MS)}
        if len(body) == UPLOAD_BYTES:
            headers["X_Body_Bytes"] = str(UPLOAD_BYTES)
            build = self._random.choice((build_mesh_request, build_chunked_request))
        if self._has_keys and draw > 0.75:
            key = max(1, self._latest_version[0] - self._random.randrange(4))
            path = f"/keyed/{key}/{call_id}"
            headers["Authorization"] = f"Bearer {build_key(key)}"
        request = build(path, call_id, method, body, **headers)
        outcome = self._begin_outcome(call_id, path, len(body), method == "POST")
        response = self._send_request(request)
        outcome = replace(outcome, ended_at=time.monotonic())
        if response is not None:
            outcome = _add_response(outcome, response)
        self.outcomes.append(outcome)

    def _send_request(self, request: bytes) -> Response | None:
        try:
            response = self._send_pieces(self._connect(), request)
        except (OSError, CutResponseError, ValueError):
            self._handle_loss()
            return None
        self._close_if_asked(response)
        return response

    def _connect(self) -> Router:
        if self._router is None:
            address = self._node.handle.entry_address
            self._router = Router(address, RESPONSE_TIMEOUT_S)
        return self._router

    def _handle_loss(self) -> None:
        """Close the connection, and wait a little before the next one."""
        self._close()
        self._stopped.wait(RECONNECT_DELAY_S)

    def _close_if_asked(self, response: Response) -> None:
        if response.get_header(b"connection") == b"close":
            self._close()

    def _send_pieces(self, router: Router, request: bytes) -> Response:
        """Send a request, an upload with pauses, and return the response."""
        if len(request) < UPLOAD_BYTES:
            return router.call(request)
        size = len(request) // UPLOAD_PIECES + 1
        for begin in range(0, len(request), size):
            router.send(request[begin : begin + size])
            self._stopped.wait(UPLOAD_PAUSE_S)
        return router.read_response()

    def _close(self) -> None:
        if self._router is not None:
            self._router.close()
            self._router = None


class SlowReader(Caller):
    """Caller that stops reading within each response, and sends larger uploads."""

    def _call(self, call_id: str) -> None:
        path, method, body = f"/read/{call_id}", "GET", b""
        headers = {
            "X_Deadline_Ms": str(SLOW_DEADLINE_MS),
            "X_Answer_Bytes": str(LARGE_ANSWER_BYTES),
        }
        if self._random.random() < 0.5:
            path, method = f"/order/upload-{call_id}", "POST"
            body = self._random.randbytes(LARGE_UPLOAD_BYTES)
            headers["X_Body_Bytes"] = str(LARGE_UPLOAD_BYTES)
        request = build_mesh_request(path, call_id, method, body, **headers)
        outcome = self._begin_outcome(call_id, path, len(body), method == "POST")
        outcome = replace(outcome, answer_bytes=LARGE_ANSWER_BYTES)
        pause_s = self._random.uniform(0.0, MAX_PAUSE_S)
        try:
            router = self._connect()
            router.send(request)
            router.wait_for_response()
            self._stopped.wait(pause_s)
            response = router.read_response()
        except (OSError, CutResponseError, ValueError):
            self._handle_loss()
            self.outcomes.append(replace(outcome, ended_at=time.monotonic()))
            return
        self._close_if_asked(response)
        outcome = replace(outcome, ended_at=time.monotonic())
        self.outcomes.append(_add_response(outcome, response))

    def _connect(self) -> Router:
        if self._router is None:
            address = self._node.handle.entry_address
            timeout_s = 2 * SLOW_DEADLINE_MS / 1_000
            self._router = Router(address, timeout_s, RECEIVE_BUFFER_BYTES)
        return self._router


def _add_response(outcome: Outcome, response: Response) -> Outcome:
    return replace(
        outcome,
        status=response.status,
        seal=response.get_header(b"x-response-seal").decode("latin-1"),
        response_call_id=response.get_header(b"x-request-id").decode("latin-1"),
        content=response.body,
    )
