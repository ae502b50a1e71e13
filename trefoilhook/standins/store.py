"""Stand-in for the platform's configuration store."""

import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.http import HttpRequest, HttpResponse
from trefoilhook.standins.core import (
    FaultyServer,
    RefusalError,
    decode_body,
    encode_answer,
)
from trefoilhook.standins.faults import FaultSwitch
from trefoilhook.standins.store_state import StoreSettings, StoreState
from trefoilhook.store import StoreEntry, SwapRequest, WatchBatch

__all__ = ["CallCounts", "StoreStandin"]

_Call = Callable[[HttpRequest], Awaitable[HttpResponse]]
_MAX_WAIT_MS = 300_000.0
_MS_PER_S = 1000.0
_T = TypeVar("_T")


@attrs.frozen(kw_only=True)
class CallCounts:
    """Numbers of calls to a store.

    Parameters
    ----------
    calls : dict of str to int
        Calls by kind, including those refused by the rate limit. A watch is a single
        call however long it waits.
    refused_calls : int
        Calls refused by the rate limit.
    """

    calls: dict[str, int]
    refused_calls: int


@attrs.frozen(kw_only=True)
class _GetAnswer:
    entry: StoreEntry | None
    revision: int


@attrs.frozen(kw_only=True)
class _RevisionAnswer:
    revision: int


@attrs.frozen(kw_only=True)
class _GrantRequest:
    ttl_ms: float


@attrs.frozen(kw_only=True)
class _LeaseAnswer:
    lease_id: str
    ttl_ms: float
    revision: int


def get_store_call_kind(request: HttpRequest) -> str:
    """Return the kind of a call to the store."""
    names = {
        ("GET", "/v1/entry"): "get",
        ("GET", "/v1/entries"): "list",
        ("GET", "/v1/watch"): "watch",
        ("POST", "/v1/swap"): "swap",
        ("POST", "/v1/leases"): "grant",
    }
    if request.path.startswith("/v1/leases/"):
        return "revoke" if request.method == "DELETE" else "keep_alive"
    return names.get((request.method, request.path), "unknown")


_WRITES = frozenset({"swap", "grant", "keep_alive", "revoke"})


class StoreStandin:
    """Store with injectable faults.

    Parameters
    ----------
    clock : Clock
        Clock of the store; leases also expire while the store is unavailable.
    host : str, optional
        Address to listen on.
    port : int, optional
        Port for calls; 0 selects a free one.
    control_port : int, optional
        Port for control requests; 0 selects a free one.
    settings : StoreSettings, optional
        Limits of the store.
    token : str, optional
        Bearer token required on every call; by default none is required.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        host: str = "127.0.0.1",
        port: int = 0,
        control_port: int = 0,
        settings: StoreSettings | None = None,
        token: str | None = None,
    ) -> None:
        self._clock = clock
        self._token = token
        self._settings = settings or StoreSettings()
        self._changed = trio.Event()
        self._watches_silenced = trio.Event()
        self._expiry_scope = trio.CancelScope()
        self._state: StoreState | None = None
        self._calls: dict[str, _Call] = {
            "get": self._get,
            "list": self._list,
            "watch": self._watch,
            "swap": self._swap,
            "grant": self._grant,
            "keep_alive": self._keep_alive,
            "revoke": self._revoke,
        }
        self.server = FaultyServer(
            handler=self._handle,
            get_call_kind=get_store_call_kind,
            clock=clock,
            host=host,
            port=port,
            control=self._handle_control,
            control_port=control_port,
        )

    @property
    def state(self) -> StoreState:
        """Contents of the store; created on first access."""
        if self._state is None:
            self._state = StoreState(
                settings=self._settings, monotonic_ms=self._clock.monotonic_ms
            )
        return self._state

    @property
    def faults(self) -> FaultSwitch:
        """Faults common to all stand-ins."""
        return self.server.faults

    @property
    def counts(self) -> CallCounts:
        """Calls received so far."""
        return CallCounts(
            calls=dict(self.state.calls), refused_calls=self.state.refused_calls
        )

    def silence_watches(self) -> None:
        """Leave pending watches without a response for good; new ones work."""
        silenced = self._watches_silenced
        self._watches_silenced = trio.Event()
        silenced.set()

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; the start value is the port for calls."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire_leases)
            await self.server.run(task_status=task_status)

    async def _expire_leases(self) -> None:
        while True:
            with trio.CancelScope() as self._expiry_scope:
                expiry_ms = self.state.find_next_expiry_ms()
                if expiry_ms is None:
                    await trio.sleep_forever()
                    continue
                left_ms = expiry_ms - self._clock.monotonic_ms()
                await self._clock.sleep_ms(max(0.0, left_ms))
                self._apply(self.state.expire_leases)

    def _apply(self, change: Callable[[], _T]) -> _T:
        before = self.state.revision
        try:
            return change()
        finally:
            if self.state.revision != before:
                changed = self._changed
                self._changed = trio.Event()
                changed.set()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        kind = get_store_call_kind(request)
        call = self._calls.get(kind)
        if call is None:
            raise RefusalError(status=404, error="not_found")
        self._check_token(request)
        self._apply(self.state.expire_leases)
        self.state.count_call(kind, is_write=kind in _WRITES)
        return await call(request)

    def _check_token(self, request: HttpRequest) -> None:
        # Ports are reused: a daemon left over from an earlier test run could otherwise
        # write to this store in place of its own.
        if self._token is None:
            return
        if request.get_header("authorization") != f"Bearer {self._token}":
            raise RefusalError(status=401, error="unauthenticated")

    async def _get(self, request: HttpRequest) -> HttpResponse:
        entry = self.state.get(_read_query(request, "key"))
        return encode_answer(_GetAnswer(entry=entry, revision=self.state.revision))

    async def _list(self, request: HttpRequest) -> HttpResponse:
        page = self.state.list_entries(
            request.query.get("prefix", ""),
            after_key=request.query.get("after_key", ""),
            limit=int(_read_number(request, "limit", default=500)),
        )
        return encode_answer(page)

    async def _swap(self, request: HttpRequest) -> HttpResponse:
        swap = decode_body(request, SwapRequest)
        revision = self._apply(lambda: self.state.swap(swap))
        return encode_answer(_RevisionAnswer(revision=revision))

    async def _grant(self, request: HttpRequest) -> HttpResponse:
        grant = decode_body(request, _GrantRequest)
        lease = self.state.grant_lease(grant.ttl_ms)
        self._expiry_scope.cancel()
        return encode_answer(
            _LeaseAnswer(
                lease_id=lease.lease_id,
                ttl_ms=lease.ttl_ms,
                revision=self.state.revision,
            )
        )

    async def _keep_alive(self, request: HttpRequest) -> HttpResponse:
        revision = self.state.keep_alive(_read_lease_id(request))
        return encode_answer(_RevisionAnswer(revision=revision))

    async def _revoke(self, request: HttpRequest) -> HttpResponse:
        lease_id = _read_lease_id(request)
        revision = self._apply(lambda: self.state.revoke_lease(lease_id))
        return encode_answer(_RevisionAnswer(revision=revision))

    async def _watch(self, request: HttpRequest) -> HttpResponse:
        if self.faults.consume_silent_watch():
            await trio.sleep_forever()
        prefix = request.query.get("prefix", "")
        after_revision = int(_read_number(request, "after_revision", default=0))
        wait_ms = min(_read_number(request, "wait_ms", default=0), _MAX_WAIT_MS)
        silenced = self._watches_silenced
        batch = await self._wait_for_batch(prefix, after_revision, wait_ms)
        if silenced.is_set():
            await trio.sleep_forever()
        return encode_answer(batch)

    async def _wait_for_batch(
        self, prefix: str, after_revision: int, wait_ms: float
    ) -> WatchBatch:
        deadline_ms = self._clock.monotonic_ms() + wait_ms
        while True:
            batch = self.state.read_changes(prefix, after_revision=after_revision)
            if batch is not None:
                return batch
            left_ms = deadline_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                return WatchBatch(entries=(), deleted=(), revision=self.state.revision)
            with trio.move_on_after(left_ms / _MS_PER_S):
                await self._changed.wait()

    def _handle_control(self, request: HttpRequest) -> HttpResponse:
        route = (request.method, request.path)
        if route == ("GET", "/counts"):
            return encode_answer(self.counts)
        if route == ("POST", "/silence-watches"):
            self.silence_watches()
            return encode_answer(self.counts)
        raise RefusalError(status=404, error="not_found")


def _read_query(request: HttpRequest, name: str) -> str:
    value = request.query.get(name)
    if value is None:
        raise RefusalError(status=400, error="bad_request")
    return value


def _read_number(request: HttpRequest, name: str, *, default: float) -> float:
    try:
        number = float(request.query.get(name, default))
    except ValueError as error:
        raise RefusalError(status=400, error="bad_request") from error
    if not math.isfinite(number) or number < 0:
        raise RefusalError(status=400, error="bad_request")
    return number


def _read_lease_id(request: HttpRequest) -> str:
    return request.path.split("/")[3]
