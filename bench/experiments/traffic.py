"""Background calls of partner routers during an experiment."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from random import Random

from bench.caller import CutResponseError, Router, build_request
from bench.fleet import NodeHandle

CALL_PAUSE_S = 0.005


@dataclass(slots=True)
class CallCounts:
    """Call counts of one router."""

    calls: int = 0
    served: int = 0
    failures: dict[str, int] = field(default_factory=dict)

    def record_failure(self, reason: str) -> None:
        """Count a call that was not served."""
        self.failures[reason] = self.failures.get(reason, 0) + 1


class BackgroundRouter:
    """Partner router that calls a group of nodes from a thread of its own.

    After its connection fails, the router connects to a random node of the group.
    The call that failed counts as not served.
    """

    def __init__(self, nodes: list[NodeHandle], path: str, token: str) -> None:
        self.counts = CallCounts()
        self._nodes = nodes
        self._request = build_request(path, token)
        self._random = Random(nodes[0].name)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start calling."""
        self._thread.start()

    def stop(self) -> CallCounts:
        """Stop calling and return the counts."""
        self._stopped.set()
        self._thread.join()
        return self.counts

    def _run(self) -> None:
        router: Router | None = None
        while not self._stopped.is_set():
            self.counts.calls += 1
            try:
                if router is None:
                    router = Router(self._random.choice(self._nodes).entry_address)
                response = router.call(self._request)
            except (OSError, CutResponseError) as error:
                self.counts.record_failure(type(error).__name__)
                router = None
            else:
                if response.status == 200:
                    self.counts.served += 1
                else:
                    reason = response.get_header(b"monsoontray-refusal").decode()
                    self.counts.record_failure(f"{response.status} {reason}")
            time.sleep(CALL_PAUSE_S)


def compute_served_fraction(all_counts: list[CallCounts]) -> float:
    """Return the share of all calls that were served."""
    calls = sum(counts.calls for counts in all_counts)
    return round(sum(counts.served for counts in all_counts) / max(1, calls), 6)
