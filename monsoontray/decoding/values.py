"""Types of the values that documents of other parties may contain."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

MAX_INT64 = 2**63 - 1
_OCTET = r"(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_PORT = r"([1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d{2}|655[0-2]\d|6553[0-5])"

#: Name that a log line or a metric may contain.
Name = Annotated[str, Meta(pattern=r"^[^\x00-\x1f\x7f]{1,200}\Z")]
#: Like a name, but may be empty.
Label = Annotated[str, Meta(pattern=r"^[^\x00-\x1f\x7f]{0,200}\Z")]
#: Name that a header may contain.
Token = Annotated[str, Meta(pattern=r"^[\x21-\x7e]{1,200}\Z")]
#: IPv4 address and port. Host names would be looked up while a task waits.
SocketAddress = Annotated[
    str, Meta(pattern=rf"^{_OCTET}\.{_OCTET}\.{_OCTET}\.{_OCTET}:{_PORT}\Z")
]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
PositiveCount = Annotated[int, Meta(ge=1, le=1_000_000)]
Bytes = Annotated[int, Meta(ge=0, le=MAX_INT64)]
Seconds = Annotated[float, Meta(ge=0.0, le=1_000_000.0)]
Rate = Annotated[float, Meta(ge=0.0, le=1_000_000.0)]
#: Milliseconds or nanoseconds since the epoch.
Timestamp = Annotated[int, Meta(ge=0, le=MAX_INT64)]
Revision = Annotated[int, Meta(ge=0, le=MAX_INT64)]
SequenceNumber = Annotated[int, Meta(ge=0, le=MAX_INT64)]
#: Number of events since a process started.
Total = Annotated[int, Meta(ge=0, le=MAX_INT64)]
