"""Client of the operators' API of a node."""

from __future__ import annotations

import os
from typing import Any

import msgspec
import urllib3

from monsoontray.commands.errors import (
    EXIT_OVERTAKEN,
    EXIT_REFUSED,
    EXIT_UNAVAILABLE,
    EXIT_UNKNOWN,
    CommandError,
)
from monsoontray.operators.schemas import (
    ErrorResponse,
    Proposal,
    ProposalResult,
    Status,
    VersionSummary,
    WaitResponse,
)
from monsoontray.plans.model import Version

NODE_VARIABLE = "MONSOONTRAY_NODE"
DEFAULT_NODE = "http://127.0.0.1:7004"
READ_TIMEOUT_S = 35.0
MAX_REQUEST_WAIT_S = 20.0  # a longer wait is split into several requests
MS_PER_S = 1000
CONNECT_TIMEOUT_S = 2.0


class NodeClient:
    """Client of one node's operators' API; its methods raise CommandError."""

    def __init__(self, node: str = "") -> None:
        base = node or os.environ.get(NODE_VARIABLE, "") or DEFAULT_NODE
        if "://" not in base:
            base = f"http://{base}"
        self._base = base.rstrip("/")
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._pool = urllib3.PoolManager(retries=False, timeout=timeout)

    def read_status(self) -> Status:
        """Return the status of the fleet as the node sees it."""
        status: Status = self._decode(self._send("GET", "/status"), Status)
        return status

    def read_version(self) -> Version:
        """Return the version in force at the node."""
        version: Version = self._decode(self._send("GET", "/config"), Version)
        return version

    def read_history(self) -> list[VersionSummary]:
        """Return summaries of the latest versions, newest first."""
        response = self._send("GET", "/history")
        if response.status != 200:
            self._raise_refusal(response)
        summaries: list[VersionSummary] = self._decode(response, list[VersionSummary])
        return summaries

    def wait(self, version: int, wait_s: float) -> WaitResponse:
        """Wait, for a limited time, until a version is in force at every node."""
        timeout_ms = int(min(wait_s, MAX_REQUEST_WAIT_S) * MS_PER_S)
        path = f"/wait?version={version}&timeout_ms={timeout_ms}"
        response: WaitResponse = self._decode(self._send("GET", path), WaitResponse)
        return response

    def validate(self, lists: bytes) -> ProposalResult:
        """Validate lists at the node."""
        return self._read_result(self._send("POST", "/validate", lists))

    def propose(self, lists: bytes, based_on: int, author: str) -> ProposalResult:
        """Propose lists as the next version."""
        body = msgspec.json.encode(Proposal(based_on, author, msgspec.Raw(lists)))
        return self._read_result(self._send("POST", "/config", body))

    def _send(
        self, method: str, path: str, body: bytes | None = None
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.request(method, self._base + path, body=body)
        except urllib3.exceptions.ReadTimeoutError as error:
            code = EXIT_UNKNOWN if method == "POST" else EXIT_UNAVAILABLE
            raise CommandError(
                f"node {self._base} did not respond in time", code
            ) from error
        except urllib3.exceptions.HTTPError as error:
            message = f"cannot reach node {self._base}: {describe_error(error)}"
            raise CommandError(message, EXIT_UNAVAILABLE) from error

    def _read_result(self, response: urllib3.BaseHTTPResponse) -> ProposalResult:
        if response.status == 200:
            result: ProposalResult = self._decode(response, ProposalResult)
            return result
        return self._raise_refusal(response)

    def _raise_refusal(self, response: urllib3.BaseHTTPResponse) -> ProposalResult:
        codes = {
            409: EXIT_OVERTAKEN,
            422: EXIT_REFUSED,
            503: EXIT_UNAVAILABLE,
            504: EXIT_UNKNOWN,
        }
        if response.status not in codes:
            self._raise_error(response)
        try:
            result = msgspec.json.decode(response.data, type=ProposalResult)
        except msgspec.DecodeError:
            self._raise_error(response)
        detail = result.detail or "; ".join(result.faults)
        raise CommandError(f"{result.outcome}: {detail}", codes[response.status])

    def _decode(self, response: urllib3.BaseHTTPResponse, schema: Any) -> Any:
        if response.status != 200:
            self._raise_error(response)
        try:
            return msgspec.json.decode(response.data, type=schema)
        except msgspec.DecodeError as error:
            message = f"node {self._base} sent an invalid response: {error}"
            raise CommandError(message, EXIT_UNAVAILABLE) from error

    def _raise_error(self, response: urllib3.BaseHTTPResponse) -> None:
        try:
            text = msgspec.json.decode(response.data, type=ErrorResponse).error
        except msgspec.DecodeError:
            text = f"status {response.status}"
        code = EXIT_REFUSED if response.status < 500 else EXIT_UNAVAILABLE
        raise CommandError(f"node {self._base}: {text}", code)


def describe_error(error: Exception) -> str:
    """Return a short description of the innermost cause of an error."""
    reason = getattr(error, "reason", None) or error
    cause = reason.__cause__ or reason
    return str(getattr(cause, "strerror", None) or cause)
