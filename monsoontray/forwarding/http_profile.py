"""The headers by which a node understands callers and backend servers."""

from __future__ import annotations

from dataclasses import dataclass

from monsoontray.forwarding.heads import HeaderNames


@dataclass(slots=True, frozen=True)
class HttpProfile:
    """Name the headers of one interface, in lower case; empty means none."""

    call_id: bytes
    timeout_ms: bytes  # how long the sender of the request will wait
    caller_service: bytes = b""  # the service on the VM where a request began
    expected_server: bytes = b""  # the server that alone may run the request
    server: bytes = b""  # the server that answers
    not_executed: bytes = b""  # in a response: the server did not run the request
    seal: bytes = b""  # without which a success is not the server's own
    cold_ms: bytes = b""  # in health responses: how long the server stays cold
    #: Whether call ids are the callers' own, which responses repeat.
    callers_assign_call_ids: bool = False
    #: Whether a response may end with its connection.
    allows_until_close: bool = False
    #: Bytes of a response that are held until its end, so that a response which
    #: breaks off early can still be replaced.
    max_buffered_bytes: int = 0

    def get_request_names(self) -> HeaderNames:
        """Return the headers that nodes act on in callers' requests."""
        if not self.callers_assign_call_ids:
            return HeaderNames()
        taken = (self.timeout_ms, self.caller_service, self.expected_server)
        return HeaderNames(frozenset((self.call_id,)), frozenset(taken))

    def get_forwarded_names(self) -> HeaderNames:
        """Return the headers that nodes act on in other nodes' requests."""
        if not self.callers_assign_call_ids:
            return HeaderNames()
        return HeaderNames(frozenset((self.call_id, self.caller_service)))

    def get_response_names(self) -> HeaderNames:
        """Return the headers that nodes act on in responses."""
        if not self.callers_assign_call_ids:
            return HeaderNames()
        read = (self.call_id, self.seal, self.server)
        return HeaderNames(frozenset(read), frozenset((self.not_executed,)))


#: Headers of monsoontray's own interface, also used between nodes.
OWN_PROFILE = HttpProfile(b"monsoontray-call-id", b"monsoontray-timeout-ms")
