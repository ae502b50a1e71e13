"""Stand-in for the platform's store, as its page describes it."""

import base64
import json
import time
from typing import Any

import trio

from trefoilhook.http import HttpRequest, HttpResponse, HttpServer

__all__ = ["Store"]

_PAGE_ITEMS = 500
_MAX_ROWS = 32
_PERIOD_S = 0.02


class Store:
    """Keys with revisions, leases and watches; all calls are linearizable.

    Parameters
    ----------
    port : int
        Port of its address.
    """

    def __init__(self, *, port: int) -> None:
        self.server = HttpServer(handler=self._handle, host="127.0.0.1", port=port)
        self.port = port
        self._items: dict[str, dict[str, Any]] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 10
        self._changed = trio.Event()

    # The operator's and the executors' writes.

    def write(self, key: str, value: Any) -> None:
        """Write a value as JSON."""
        self._revision += 1
        self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        self._notify()

    def remove(self, key: str) -> None:
        """Remove a key."""
        if key in self._items:
            self._revision += 1
            self._delete(key)
            self._notify()

    def _put(self, key: str, value: str, lease: int) -> None:
        created = self._items.get(key, {}).get("created", self._revision)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._history.append(item)

    def _delete(self, key: str) -> None:
        del self._items[key]
        self._history.append({"key": key, "revision": self._revision, "deleted": True})

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def expire_leases(self) -> None:
        """Remove the keys of leases that have ended, until cancelled."""
        while True:
            await trio.sleep(_PERIOD_S)
            self._expire()

    def _expire(self) -> None:
        now_s = time.monotonic()
        ended = {number for number, row in self._leases.items() if row[1] <= now_s}
        for number in ended:
            del self._leases[number]
        keys = [key for key, item in self._items.items() if item["lease"] in ended]
        for key in keys:
            self._revision += 1
            self._delete(key)
        if keys:
            self._notify()

    # Calls.

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self._expire()
        name = request.path.removeprefix("/trefoilhook/")
        query = request.query
        if name == "kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return HttpResponse(status=404)
            return HttpResponse.from_json({**item, "as_of": self._revision})
        if name == "kv-range":
            return self._list(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._commit(request.parse_json())
        if name == "kv-lease":
            return self._grant(float(request.parse_json()["ttl_ms"]))
        return self._change_lease(name)

    def _list(self, query: dict[str, str]) -> HttpResponse:
        after = query.get("after", "")
        keys = [k for k in sorted(self._items) if k.startswith(query["prefix"])]
        keys = [k for k in keys if k > after]
        return HttpResponse.from_json(
            {
                "items": [self._items[key] for key in keys[:_PAGE_ITEMS]],
                "has_more": len(keys) > _PAGE_ITEMS,
                "as_of": self._revision,
            }
        )

    async def _watch(self, query: dict[str, str]) -> HttpResponse:
        prefix, after = query["prefix"], int(query["after"])
        with trio.move_on_after(int(query["wait_ms"]) / 1000.0):
            while not self._find_events(prefix, after):
                await self._changed.wait()
        events = self._find_events(prefix, after)
        return HttpResponse.from_json({"events": events, "as_of": self._revision})

    def _find_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        events: list[dict[str, Any]] = []
        for event in reversed(self._history):
            if event["revision"] <= after:
                break
            if event["key"].startswith(prefix):
                events.append(event)
        return events[::-1]

    def _commit(self, body: dict[str, Any]) -> HttpResponse:
        expected = body.get("precondition", [])
        puts, removed = body.get("puts", []), body.get("remove", [])
        if len(expected) + len(puts) + len(removed) > _MAX_ROWS:
            return HttpResponse(status=400)
        if any(put.get("lease", 0) not in {0, *self._leases} for put in puts):
            return HttpResponse(status=404)
        known = [self._items.get(row["key"]) for row in expected]
        for row, item in zip(expected, known, strict=True):
            if row["revision"] != (item["revision"] if item is not None else 0):
                items = [each for each in known if each is not None]
                return HttpResponse.from_json({"items": items}, status=412)
        self._revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in removed:
            if key in self._items:
                self._delete(key)
        self._notify()
        return HttpResponse.from_json({"revision": self._revision})

    def _grant(self, ttl_ms: float) -> HttpResponse:
        self._revision += 1
        number = 70_000 + self._revision
        self._leases[number] = ttl_ms, time.monotonic() + ttl_ms / 1000.0
        return HttpResponse.from_json({"lease": number, "ttl_ms": ttl_ms})

    def _change_lease(self, name: str) -> HttpResponse:
        verb, _, text = name.partition("/")
        number = int(text)
        if number not in self._leases:
            return HttpResponse(status=404)
        ttl_ms = self._leases[number][0]
        if verb == "kv-keep":
            self._leases[number] = ttl_ms, time.monotonic() + ttl_ms / 1000.0
            return HttpResponse.from_json({"ttl_ms": ttl_ms})
        self._leases[number] = ttl_ms, float("-inf")
        self._expire()
        return HttpResponse.from_json({})
