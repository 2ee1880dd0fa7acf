"""Stand-in of the platform's address for usage reports."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


@dataclass(slots=True, frozen=True)
class UsageReport:
    """Report of a window, as it arrived."""

    at: float  # monotonic seconds
    holder: str
    token: int
    window: int
    counts: dict[str, int]


@contextmanager
def record_reports(reports: list[UsageReport]) -> Iterator[str]:
    """Accept reports and add them to a list; return the address."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self) -> None:
            body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
            holder = self.headers["X-Duty-Holder"]
            token = int(self.headers["X-Fencing-Token"])
            reports.append(
                UsageReport(
                    time.monotonic(), holder, token, body["window_seq"], body["counts"]
                )
            )
            self.send_response(200)
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, *arguments: object) -> None:
            pass

    with ThreadingHTTPServer(("127.0.0.1", 0), Handler) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield f"127.0.0.1:{server.server_port}"
        server.shutdown()
