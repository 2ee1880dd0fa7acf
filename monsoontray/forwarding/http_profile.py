"""Profile of an HTTP interface: the names and rules of its special headers."""

from __future__ import annotations

from msgspec import Struct

from monsoontray.forwarding.heads import ExtraHeaders


class HttpProfile(Struct, frozen=True):
    """Header names, in lower case, and response rules of one HTTP interface.

    An empty name means that the interface has no such header.
    """

    call_id: bytes
    timeout_ms: bytes  # how long the sender of the request waits for the response
    caller_service: bytes = b""  # the service that made the call
    customer: bytes = b""  # the customer whose key the request has
    expected_server: bytes = b""  # the only server that may run the request
    server: bytes = b""  # the server that sent the response
    not_executed: bytes = b""  # in a response: the server did not run the request
    seal: bytes = b""  # present in every successful response of the server itself
    server_limit: bytes = b""  # in a response: calls a second that its server takes
    server_leaving: bytes = b""  # in a response: its server leaves
    cold_ms: bytes = b""  # in a health response: how long the server stays cold
    #: Whether callers choose the call ids, which responses must then repeat.
    callers_assign_call_ids: bool = False
    #: Whether the end of the connection may mark the end of a response.
    allows_until_close: bool = False
    #: Response bytes that are buffered until the response ends, so that an
    #: incomplete response can still be replaced by the response to another attempt.
    max_buffered_bytes: int = 0

    def get_entry_headers(self) -> ExtraHeaders:
        """Return the headers that a node acts on in callers' requests."""
        if not self.callers_assign_call_ids:
            return ExtraHeaders()
        stripped = (self.timeout_ms, self.caller_service, self.expected_server)
        return ExtraHeaders(frozenset((self.call_id,)), frozenset(stripped))

    def get_guard_headers(self) -> ExtraHeaders:
        """Return the headers that a node acts on in requests from other nodes."""
        if not self.callers_assign_call_ids:
            return ExtraHeaders()
        return ExtraHeaders(frozenset((self.call_id, self.caller_service)))

    def get_response_headers(self) -> ExtraHeaders:
        """Return the headers that a node acts on in responses."""
        if not self.callers_assign_call_ids:
            return ExtraHeaders()
        forwarded = (
            self.call_id,
            self.seal,
            self.server,
            self.server_limit,
            self.server_leaving,
        )
        return ExtraHeaders(frozenset(forwarded), frozenset((self.not_executed,)))


#: Profile of monsoontray's own interface, which nodes also use between each other.
OWN_PROFILE = HttpProfile(b"monsoontray-call-id", b"monsoontray-timeout-ms")
