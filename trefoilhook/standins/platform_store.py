"""Stand-in for the key-value store of the users' platform."""

import base64
import enum
import json
from typing import Any

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.http import HttpRequest, HttpResponse, HttpServer

__all__ = ["PlatformStore", "StoreFault"]

_PAGE_ITEMS = 500
_MAX_ROWS = 32


class StoreFault(enum.Enum):
    """Faults of the store."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    LOSES_ANSWERS = "loses answers"


@attrs.define(kw_only=True)
class _Item:
    value: str
    revision: int
    created: int
    lease: int


@attrs.define(kw_only=True)
class _Lease:
    ttl_ms: float
    ends_ms: float


class PlatformStore:
    """Key-value store with injectable faults.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    fault : StoreFault
        Active fault.
    unreadable_prefix : str or None
        Reads of keys under this prefix fail with status 503.
    calls : int
        Number of calls received.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._history: list[dict[str, Any]] = []
        self._compacted_revision = 0
        self._revision = 10
        self._changed = trio.Event()
        self.fault = StoreFault.NONE
        self.unreadable_prefix: str | None = None
        self.calls = 0
        self.server = HttpServer(handler=self._handle_request, host="127.0.0.1", port=0)

    # Operations for tests.

    def write(self, key: str, value: Any) -> None:
        """Write a value as JSON, as the operator or a worker would."""
        self.write_bytes(key, json.dumps(value).encode())

    def write_bytes(self, key: str, data: bytes) -> None:
        """Write raw bytes, which need not be a valid value."""
        self._put(key, base64.b64encode(data).decode(), 0)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if key in self._items:
            self._revision += 1
            self._remove(key)

    def read(self, key: str) -> Any:
        """Return the value of a key; None if it does not exist."""
        item = self._items.get(key)
        return json.loads(base64.b64decode(item.value)) if item is not None else None

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix in order."""
        self._remove_expired_leases()
        return sorted(key for key in self._items if key.startswith(prefix))

    def compact_history(self) -> None:
        """Compact the history: watches from earlier revisions fail."""
        self._compacted_revision = self._revision
        self._history.clear()

    # Requests of instances.

    async def _handle_request(self, request: HttpRequest) -> HttpResponse:
        self.calls += 1
        self._remove_expired_leases()
        if self.fault is StoreFault.BUSY:
            return HttpResponse(status=503)
        if self.fault is StoreFault.SILENT:
            await trio.sleep_forever()
        name = request.path.removeprefix("/trefoilhook/")
        response = await self._dispatch(request, name)
        if self._is_unreadable(request):
            return HttpResponse(status=503)
        if self.fault is StoreFault.LOSES_ANSWERS and request.method == "POST":
            raise trio.BrokenResourceError
        return response

    def _is_unreadable(self, request: HttpRequest) -> bool:
        if self.unreadable_prefix is None:
            return False
        prefix = request.query.get("prefix", request.query.get("key", ""))
        return prefix.startswith(self.unreadable_prefix)

    async def _dispatch(self, request: HttpRequest, name: str) -> HttpResponse:
        if name == "kv-key":
            return self._get(request.query["key"])
        if name == "kv-range":
            return self._range(request.query)
        if name == "kv-watch":
            return await self._watch(request.query)
        if name == "kv-txn":
            return self._commit(request.parse_json())
        if name == "kv-lease":
            return self._grant(request.parse_json()["ttl_ms"])
        verb, _, lease = name.partition("/")
        if int(lease) not in self._leases:
            return HttpResponse(status=404)
        if verb == "kv-keep":
            held = self._leases[int(lease)]
            held.ends_ms = self._clock.monotonic_ms() + held.ttl_ms
            return HttpResponse.from_json({"ttl_ms": held.ttl_ms})
        self._leases[int(lease)].ends_ms = float("-inf")
        self._remove_expired_leases()
        return HttpResponse.from_json({})

    def _describe_item(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        return {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def _get(self, key: str) -> HttpResponse:
        if key not in self._items:
            return HttpResponse(status=404)
        return HttpResponse.from_json(
            {**self._describe_item(key), "as_of": self._revision}
        )

    def _range(self, query: dict[str, str]) -> HttpResponse:
        keys = [
            key
            for key in sorted(self._items)
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        ]
        return HttpResponse.from_json(
            {
                "items": [self._describe_item(key) for key in keys[:_PAGE_ITEMS]],
                "has_more": len(keys) > _PAGE_ITEMS,
                "as_of": self._revision,
            }
        )

    async def _watch(self, query: dict[str, str]) -> HttpResponse:
        after = int(query["after"])
        with trio.move_on_after(int(query["wait_ms"]) / 1000.0):
            while True:
                if after < self._compacted_revision:
                    return HttpResponse(status=410)
                events = [
                    event
                    for event in self._history
                    if event["revision"] > after
                    and event["key"].startswith(query["prefix"])
                ]
                if events:
                    break
                await self._changed.wait()
        if after < self._compacted_revision:
            return HttpResponse(status=410)
        events = [
            event
            for event in self._history
            if event["revision"] > after and event["key"].startswith(query["prefix"])
        ]
        return HttpResponse.from_json({"events": events, "as_of": self._revision})

    def _commit(self, body: dict[str, Any]) -> HttpResponse:
        rows = body["precondition"], body["puts"], body["remove"]
        if sum(len(row) for row in rows) > _MAX_ROWS:
            return HttpResponse(status=400)
        if any(put.get("lease", 0) not in {0, *self._leases} for put in body["puts"]):
            return HttpResponse(status=404)
        expected = body["precondition"]
        if any(self._get_revision(row["key"]) != row["revision"] for row in expected):
            items = [
                self._describe_item(r["key"])
                for r in expected
                if r["key"] in self._items
            ]
            return HttpResponse.from_json({"items": items}, status=412)
        self._revision += 1
        for put in body["puts"]:
            self._store(put["key"], put["value"], put.get("lease", 0))
        for key in body["remove"]:
            if key in self._items:
                self._remove(key)
        self._notify_watches()
        return HttpResponse.from_json({"revision": self._revision})

    def _get_revision(self, key: str) -> int:
        return self._items[key].revision if key in self._items else 0

    def _grant(self, ttl_ms: float) -> HttpResponse:
        self._revision += 1
        lease = 70_000 + self._revision
        ends_ms = self._clock.monotonic_ms() + ttl_ms
        self._leases[lease] = _Lease(ttl_ms=ttl_ms, ends_ms=ends_ms)
        return HttpResponse.from_json({"lease": lease, "ttl_ms": ttl_ms})

    def _put(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        self._store(key, value, lease)
        self._notify_watches()

    def _store(self, key: str, value: str, lease: int) -> None:
        known = self._items.get(key)
        self._items[key] = _Item(
            value=value,
            revision=self._revision,
            created=known.created if known is not None else self._revision,
            lease=lease,
        )
        self._history.append(self._describe_item(key))

    def _remove(self, key: str) -> None:
        del self._items[key]
        self._history.append({"key": key, "revision": self._revision, "deleted": True})
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _remove_expired_leases(self) -> None:
        now_ms = self._clock.monotonic_ms()
        for lease, held in list(self._leases.items()):
            if held.ends_ms > now_ms:
                continue
            del self._leases[lease]
            for key in [k for k, item in self._items.items() if item.lease == lease]:
                self._revision += 1
                self._remove(key)

    async def expire_leases(self) -> None:
        """Expire leases until cancelled.

        Leases are suspended while the store is unavailable.
        """
        while True:
            started_ms = self._clock.monotonic_ms()
            await self._clock.sleep_ms(20.0)
            if self.fault in (StoreFault.BUSY, StoreFault.SILENT):
                unavailable_ms = self._clock.monotonic_ms() - started_ms
                for lease in self._leases.values():
                    lease.ends_ms += unavailable_ms
            self._remove_expired_leases()
