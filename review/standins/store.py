"""The platform's metadata store, without faults of its own."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any

from review.standins import web

_PAGE_ITEMS = 500
_MAX_ROWS = 32


class Store:
    """Items, leases and watches, at one address for each machine.

    Parameters
    ----------
    note : callable
        Called with a line for the record.

    Attributes
    ----------
    last_writer : str
        Machine that last wrote under a condition.
    """

    def __init__(self, note: Callable[[str], None]) -> None:
        self._note = note
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_machines: dict[int, str] = {}
        self._revision = 10
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self.last_writer = ""

    async def open(self, machine: str) -> int:
        """Listen for one machine; return the port."""

        async def handle(request: web.Request) -> web.Answer:
            return await self._handle(request, machine)

        server = await web.serve(handle)
        self._servers.append(server)
        return web.get_port(server)

    async def expire_leases(self) -> None:
        """Remove the keys of leases that have ended, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            self._expire()

    # Operators and executors.

    def put(self, key: str, value: Any) -> None:
        """Write a value as the operator or an executor does."""
        self._revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._store(key, text, 0)
        self._notify()

    def remove(self, key: str) -> None:
        """Remove a key."""
        if key in self._items:
            self._revision += 1
            self._drop(key)
            self._notify()

    def revoke_leases(self, machine: str) -> None:
        """Take away the keys of a machine's leases at once."""
        for lease, owner in self._lease_machines.items():
            if owner == machine and lease in self._leases:
                self._leases[lease] = (0.0, 0.0)
        self._expire()

    # Calls.

    async def _handle(self, request: web.Request, machine: str) -> web.Answer:
        self._expire()
        name = request.path.removeprefix("/trefoilhook/")
        if name == "kv-key":
            item = self._items.get(request.query["key"])
            return (404, None) if item is None else (200, self._date(item))
        if name == "kv-range":
            return self._list(request.query)
        if name == "kv-watch":
            return await self._watch(request.query)
        if name == "kv-txn":
            return self._commit(request.parse(), machine)
        if name == "kv-lease":
            return self._grant(float(request.parse()["ttl_ms"]), machine)
        verb, _, number = name.partition("/")
        lease = int(number)
        if lease not in self._leases:
            return 404, None
        ttl_ms = self._leases[lease][0]
        if verb == "kv-keep":
            self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"ttl_ms": ttl_ms}
        self._leases[lease] = (ttl_ms, 0.0)
        self._expire()
        return 200, {}

    def _date(self, item: dict[str, Any]) -> dict[str, Any]:
        return {**item, "as_of": self._revision}

    def _list(self, query: dict[str, str]) -> web.Answer:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query["prefix"]) and key > after
        )
        items = [self._items[key] for key in keys[:_PAGE_ITEMS]]
        more = len(keys) > _PAGE_ITEMS
        return 200, {"items": items, "has_more": more, "as_of": self._revision}

    async def _watch(self, query: dict[str, str]) -> web.Answer:
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self._revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _commit(self, body: dict[str, Any], machine: str) -> web.Answer:
        expected = body.get("precondition", [])
        puts, removals = body.get("puts", []), body.get("remove", [])
        if len(expected) + len(puts) + len(removals) > _MAX_ROWS:
            return 400, None
        if any(put.get("lease", 0) not in {0, *self._leases} for put in puts):
            return 404, None
        if any(self._find_revision(row["key"]) != row["revision"] for row in expected):
            items = [
                self._items.get(row["key"], {"key": row["key"], "revision": 0})
                for row in expected
            ]
            return 412, {"items": items}
        if expected:
            self.last_writer = machine
        self._revision += 1
        for put in puts:
            self._store(put["key"], put["value"], put.get("lease", 0))
        for key in removals:
            if key in self._items:
                self._drop(key)
        self._notify()
        return 200, {"revision": self._revision}

    def _find_revision(self, key: str) -> int:
        return int(self._items[key]["revision"]) if key in self._items else 0

    def _grant(self, ttl_ms: float, machine: str) -> web.Answer:
        self._revision += 1
        lease = 70_000 + self._revision
        self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        self._lease_machines[lease] = machine
        return 200, {"lease": lease, "ttl_ms": ttl_ms}

    def _store(self, key: str, text: str, lease: int) -> None:
        known = self._items.get(key)
        created = known["created"] if known is not None else self._revision
        self._items[key] = {
            "key": key,
            "value": text,
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self._history.append(self._items[key])

    def _drop(self, key: str) -> None:
        del self._items[key]
        self._history.append({"key": key, "revision": self._revision, "deleted": True})

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (_, until) in list(self._leases.items()):
            if until > now:
                continue
            del self._leases[lease]
            for key in [k for k, i in self._items.items() if i["lease"] == lease]:
                self._note(f"store: {key} removed, its lease has ended")
                self._revision += 1
                self._drop(key)
                self._notify()
