"""Stand-in of the platform's key-value store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import json
from urllib.parse import parse_qsl, urlsplit

from standins2.http import Message, Server, encode, read_body, read_head

HISTORY_S = 20.0
ANSWER_S = 0.004
PAGE_ITEMS = 500


class Store:
    """Keys with revisions, leases and watches; loses nothing that it acknowledged."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.leases: dict[int, tuple[float, float]] = {}  # lifetime and deadline
        self.history: list[tuple[float, dict]] = []
        self.compacted = 0  # the history after this revision is kept
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.server = Server()
        self.address = ("", 0)

    async def start(self, host: str, port: int) -> None:
        """Serve on an address."""
        self.address = (host, port)
        await self.server.start(host, port, self._serve)

    def write_as_operator(self, key: str, value: object) -> int:
        """Write a key; the return acknowledges it."""
        self.revision += 1
        self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        self._notify()
        return self.revision

    def remove_as_operator(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self._remove(key)
        self._notify()

    def read(self, key: str) -> object:
        """Return the value of a key, or None."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    async def _serve(self, reader, writer) -> None:
        while True:
            request = await read_head(reader)
            if request is None or not await read_body(reader, request):
                return
            await asyncio.sleep(ANSWER_S)
            status, body = await self._handle(request)
            data = json.dumps(body).encode()
            headers = {"Content-Type": "application/json"}
            writer.write(encode(f"HTTP/1.1 {status} Answer", headers, data))
            await writer.drain()

    async def _handle(self, request: Message) -> tuple[int, object]:
        url = urlsplit(request.target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        self._expire()
        parts = url.path.strip("/").split("/")
        if parts[0] == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, {**item, "as_of": self.revision}
        if parts[0] == "kv-range":
            return 200, self._list(query)
        if parts[0] == "kv-watch":
            return await self._watch(query)
        if parts[0] == "kv-txn":
            return self._commit(json.loads(request.body))
        if parts[0] == "kv-lease":
            lifetime_s = float(json.loads(request.body)["ttl_s_time"])
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (lifetime_s, _now() + lifetime_s)
            return 200, {"lease": lease, "ttl_s_time": lifetime_s}
        lease = int(parts[1])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        lifetime_s = self.leases[lease][0]
        if parts[0] == "kv-lease-end":
            del self.leases[lease]
            self._expire()
            return 200, {}
        self.leases[lease] = (lifetime_s, _now() + lifetime_s)
        return 200, {"ttl_s_time": lifetime_s}

    def _list(self, query: dict[str, str]) -> object:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "as_of": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        deadline = _now() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.compacted or after > self.revision:
                return 410, {"error": "the history is gone"}
            events = [
                event
                for _, event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            wait_s = deadline - _now()
            if events or wait_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(wait_s, 0.2))
            except TimeoutError:
                self._expire()

    def _commit(self, body: dict) -> tuple[int, object]:
        for row in body.get("expect", ()):
            item = self.items.get(row["key"])
            if (0 if item is None else item["revision"]) != row["revision"]:
                keys = [each["key"] for each in body["expect"]]
                current = [self.items[key] for key in keys if key in self.items]
                return 412, {"items": current}
        puts, removed = body.get("puts", ()), body.get("remove", ())
        keys = [each["key"] for each in puts] + list(removed)
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {"error": "read-only"}
        for put in puts:
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {"error": "no such lease"}
        self.revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in removed:
            self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}

    def _put(self, key: str, value: str, lease: int) -> None:
        known = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": self.revision if known is None else known["created"],
            "lease": lease,
        }
        self.items[key] = item
        self._add_event(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._add_event({"key": key, "revision": self.revision, "removed": True})

    def _add_event(self, event: dict) -> None:
        now = _now()
        self.history.append((now, event))
        while self.history[0][0] < now - HISTORY_S:
            self.compacted = self.history.pop(0)[1]["revision"]

    def _expire(self) -> None:
        now = _now()
        for lease in [i for i, (_, due) in self.leases.items() if due <= now]:
            del self.leases[lease]
        lapsed = [
            key
            for key, item in self.items.items()
            if item["lease"] and item["lease"] not in self.leases
        ]
        for key in lapsed:
            self.revision += 1
            self._remove(key)
        if lapsed:
            self._notify()

    def _notify(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


def _now() -> float:
    return asyncio.get_running_loop().time()
