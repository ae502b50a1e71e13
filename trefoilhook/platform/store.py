"""Client of the platform's key-value store."""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from trefoilhook.clock import Clock
from trefoilhook.decoding import parse_object, read_integer
from trefoilhook.exceptions import (
    AnswerLostError,
    DecodeError,
    HistoryLostError,
    LeaseLostError,
    NotSentError,
    StoreAbandonedError,
    StoreAnswerBrokenError,
    StoreError,
    StoreRateError,
    StoreUnavailableError,
    StoreUnsentError,
)
from trefoilhook.http import HttpResponse, JsonClient
from trefoilhook.logs import CallFailure, Event, OutageLog, log_event
from trefoilhook.platform.core import Address
from trefoilhook.platform.messages import (
    Changes,
    Item,
    Listing,
    PreconditionError,
    Transaction,
)
from trefoilhook.platform.reachability import PendingCall, Reachability
from trefoilhook.platform.store_codec import (
    decode_changes,
    decode_current_items,
    decode_item,
    decode_page,
    encode_transaction,
)

__all__ = ["KeyValueStore"]

_Answer = TypeVar("_Answer")

_MAX_CONNECTIONS = 24
"""Maximum connections to the store. Each waiting watch and call in flight uses one."""

_MAX_PROBE_CONNECTIONS = 6
"""Maximum connections for probes, which are separate so that stuck calls don't block
them."""

_MAX_PAGE_FAILURES = 5
"""Number of failures in a row after which a listing is given up, except for its first
page."""

_PAGE_RETRY_PAUSE_MS = 200.0
"""Pause before a page is read again, in ms."""

_LONG_ANSWER_MS = 500.0
"""Time to receive an answer from which it is logged, in ms. Changes must be in force
within seconds, and the answers to other calls share the link."""

_UNAVAILABILITY_FAILURES = frozenset(
    {CallFailure.NOT_SENT, CallFailure.NO_ANSWER, CallFailure.UNAVAILABLE}
)
"""Failures after which the store may be unavailable."""

_CALLS = {
    "kv-key": "get",
    "kv-range": "list",
    "kv-watch": "watch",
    "kv-txn": "commit",
    "kv-lease": "grant lease",
    "kv-keep": "keep lease",
    "kv-lease-end": "end lease",
}
"""Names of the calls in log lines."""


class KeyValueStore:
    """Client of the store; calls may be made concurrently.

    Parameters
    ----------
    address : (str, int)
        Address of the store.
    timeout_ms : float
        Timeout of a call in ms, to which the wait of a watch is added. An answer that
        is being received may take longer.
    clock : Clock
        Time source.

    Attributes
    ----------
    answers, failures : int
        Number of successful and of failed calls.

    Notes
    -----
    Outages are logged here, once for all callers. A caller that handles an error and
    retries does not need to log it.

    Every method raises ``StoreUnavailableError`` if no response was received: a change
    may have taken effect, or may still do so, unless the error's ``is_proved_unsent``
    is set. ``StoreRateError`` means that nothing was changed.
    """

    def __init__(self, *, address: Address, timeout_ms: float, clock: Clock) -> None:
        self._open_clients(address)
        self._reachability = Reachability(clock=clock)
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._log = OutageLog(
            clock=clock, started_event=Event.STORE_DOWN, ended_event=Event.STORE_BACK
        )
        self.answers = 0
        self.failures = 0

    @property
    def is_unavailable(self) -> bool:
        """Whether a call and the probes after it have failed."""
        return self._reachability.is_unavailable

    @property
    def recovered_ms(self) -> float:
        """Monotonic time at which the store last recovered, in ms."""
        return self._reachability.recovered_ms

    def set_frequent_probing(self, is_frequent: bool) -> None:
        """Set whether probes are sent at the shorter interval."""
        self._reachability.probes_frequently = is_frequent

    async def wait_for_retry(
        self, pause_ms: float, *, limit_ms: float | None = None
    ) -> None:
        """Wait before a failed call is repeated.

        Parameters
        ----------
        pause_ms : float
            Minimum wait, in ms.
        limit_ms : float, optional
            Maximum wait for the recovery of the store, in ms, instead of the default.
        """
        if limit_ms is None:
            await self._reachability.wait_for_retry(pause_ms)
        else:
            await self._reachability.wait_for_retry(pause_ms, limit_ms=limit_ms)

    async def wait_for_probe_result(self, limit_ms: float) -> None:
        """Wait until probes show whether the store is unavailable.

        Returns at once if the store is not suspect.

        Parameters
        ----------
        limit_ms : float
            Maximum wait, in ms.
        """
        await self._reachability.wait_for_probe_result(limit_ms)

    async def run_probes(self, key: str) -> None:
        """Read ``key`` regularly while the store doesn't answer, until cancelled."""

        async def probe() -> bool:
            # An idle connection may be as dead as the one that made the store suspect.
            await self._probe_client.close()
            try:
                await self._call(
                    "GET",
                    "kv-key",
                    query={"key": key},
                    accept=(404,),
                    client=self._probe_client,
                )
            except StoreError:
                return False
            return True

        await self._reachability.run_probes(probe)

    async def get(self, key: str) -> Item | None:
        """Return the item at ``key``, or None if the key does not exist."""
        response = await self._call_repeatable(
            "GET", "kv-key", query={"key": key}, accept=(404,)
        )
        if response.status == 404:
            return None
        return self._read(response, decode_item)

    async def list_items(self, prefix: str) -> Listing:
        """Read all keys under ``prefix``, page by page.

        ``as_of`` is the revision of the first page, so that a watch from there includes
        all changes made while the other pages were read. A page that fails is read
        again, without those before it.
        """
        items: list[Item] = []
        as_of = 0
        query: dict[str, str | int] = {"prefix": prefix}
        failures = 0
        while True:
            try:
                response = await self._call_repeatable("GET", "kv-range", query=query)
                page, page_as_of, has_more = self._read(response, decode_page)
            except StoreError:
                failures += 1
                if not items or failures > _MAX_PAGE_FAILURES:
                    raise
                await self.wait_for_retry(_PAGE_RETRY_PAUSE_MS)
                continue
            failures = 0
            as_of = as_of or page_as_of
            items.extend(page)
            if not has_more or not page:
                return Listing(items=tuple(items), as_of=as_of)
            query["after"] = items[-1].key

    async def watch(
        self,
        prefix: str,
        *,
        after: int,
        wait_ms: int,
        note_received: Callable[[], None] | None = None,
    ) -> Changes:
        """Wait until something under ``prefix`` changes after revision ``after``.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after : int
            Revision after which changes are returned.
        wait_ms : int
            Maximum wait for a change, in ms.
        note_received : callable, optional
            Called after each part of the answer received.

        Raises
        ------
        HistoryLostError
            If the store no longer has the changes after that revision.
        """
        query: dict[str, str | int] = {
            "prefix": prefix,
            "after": after,
            "wait_ms": wait_ms,
        }
        try:
            response = await self._call(
                "GET",
                "kv-watch",
                query=query,
                extra_ms=wait_ms,
                accept=(410,),
                is_repeatable=True,
                note_received=note_received,
            )
        except StoreAbandonedError:
            # Without a wait, the answer shows at once that all changes are known.
            query["wait_ms"] = 0
            response = await self._call(
                "GET",
                "kv-watch",
                query=query,
                accept=(410,),
                note_received=note_received,
            )
        if response.status == 410:
            raise HistoryLostError(f"history after revision {after} is unavailable")
        return self._read(response, decode_changes)

    async def commit(
        self, transaction: Transaction, *, timeout_ms: float | None = None
    ) -> int:
        """Apply a transaction and return the store's revision of its changes.

        Parameters
        ----------
        transaction : Transaction
            Transaction to apply.
        timeout_ms : float, optional
            Timeout of the call in ms, instead of the default.

        Raises
        ------
        PreconditionError
            If a precondition does not hold. It has the current items at these keys.
        LeaseLostError
            If a lease of the transaction has expired; nothing was changed.
        """
        response = await self._call(
            "POST",
            "kv-txn",
            body=encode_transaction(transaction),
            accept=(404, 412),
            extra_ms=(timeout_ms or self._timeout_ms) - self._timeout_ms,
        )
        if response.status == 404:
            raise LeaseLostError("the lease has expired")
        if response.status == 412:
            items = self._read(response, decode_current_items)
            raise PreconditionError("a key has another revision", items=items)
        return self._read(response, lambda table: read_integer(table, "revision"))

    async def grant_lease(self, ttl_ms: int) -> int:
        """Grant a lease that expires after ``ttl_ms`` unless it is renewed."""
        response = await self._call("POST", "kv-lease", body={"ttl_ms": ttl_ms})
        return self._read(
            response, lambda table: read_integer(table, "lease", minimum=1)
        )

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        Raises
        ------
        LeaseLostError
            If the lease has expired, which has removed its keys.
        """
        response = await self._call_repeatable(
            "POST", f"kv-keep/{lease}", body={}, accept=(404,)
        )
        if response.status == 404:
            raise LeaseLostError("the lease has expired")

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove its keys; an expired lease is not an error."""
        await self._call_repeatable("DELETE", f"kv-lease-end/{lease}", accept=(404,))

    def set_address(self, address: Address) -> None:
        """Change the address of the store for later calls."""
        self._open_clients(address)

    def _open_clients(self, address: Address) -> None:
        self._client = JsonClient(address=address, max_connections=_MAX_CONNECTIONS)
        self._probe_client = JsonClient(
            address=address, max_connections=_MAX_PROBE_CONNECTIONS
        )

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()
        await self._probe_client.close()

    async def _call_repeatable(
        self, method: str, name: str, **options: Any
    ) -> HttpResponse:
        """Make an idempotent call, repeating it at once if it is abandoned.

        The repetition has the full timeout, so that a slow answer is still received.
        """
        try:
            return await self._call(method, name, is_repeatable=True, **options)
        except StoreAbandonedError:
            return await self._call(method, name, **options)

    async def _call(
        self,
        method: str,
        name: str,
        *,
        query: Mapping[str, str | int] | None = None,
        body: Any = None,
        extra_ms: float = 0.0,
        accept: tuple[int, ...] = (),
        client: JsonClient | None = None,
        is_repeatable: bool = False,
        note_received: Callable[[], None] | None = None,
    ) -> HttpResponse:
        sent_ms = self._clock.monotonic_ms()
        wait_ms = extra_ms if name == "kv-watch" else 0.0
        call = PendingCall(
            sent_ms=sent_ms, wait_ms=wait_ms, is_repeatable=is_repeatable
        )
        self._reachability.begin_call(call)

        def record_received(count: int) -> None:
            call.note_received(count, self._clock.monotonic_ms())
            if note_received is not None:
                note_received()

        response: HttpResponse | None = None
        try:
            with call.scope:
                response = await (client or self._client).send_request(
                    method,
                    f"/trefoilhook/{name}",
                    query=query,
                    body=body,
                    timeout_ms=self._timeout_ms + extra_ms,
                    # Changes and renewals have small answers, and their outcome must
                    # be known in time.
                    pause_ms=self._timeout_ms if method == "GET" else 0.0,
                    note_received=record_received,
                )
        except NotSentError as error:
            self._fail(name, CallFailure.NOT_SENT, sent_ms, str(error))
            raise StoreUnsentError(str(error)) from error
        except AnswerLostError as error:
            detail = f"{error}, {call.received_bytes} bytes received"
            self._fail(name, CallFailure.NO_ANSWER, sent_ms, detail)
            if call.received_bytes:
                raise StoreAnswerBrokenError(detail) from error
            raise StoreUnavailableError(detail) from error
        finally:
            self._reachability.end_call(call)
        if response is None:
            detail = f"abandoned, {call.received_bytes} bytes received"
            self._fail(name, CallFailure.NO_ANSWER, sent_ms, detail)
            # The repetition must not use another connection that may be dead as well.
            await (client or self._client).close()
            raise StoreAbandonedError("the call was abandoned before it was answered")
        if response.status not in (200, *accept):
            failure = _classify_refusal(response.status)
            self._fail(name, failure, sent_ms, f"status {response.status}")
            raise _build_refusal(failure, response.status)
        self.answers += 1
        self._log.record_answer(sent_ms=sent_ms)
        self._reachability.record_answer(sent_ms)
        _log_long_answer(name, call)
        return response

    def _read(
        self, response: HttpResponse, decode: Callable[[dict[str, Any]], _Answer]
    ) -> _Answer:
        """Decode a response; an unreadable one counts as no response."""
        try:
            return decode(parse_object(response.body))
        except DecodeError as error:
            now_ms = self._clock.monotonic_ms()
            self._fail("read", CallFailure.UNREADABLE, now_ms, str(error))
            raise StoreUnavailableError(f"invalid response: {error}") from error

    def _fail(self, name: str, why: CallFailure, sent_ms: float, detail: str) -> None:
        self.failures += 1
        self._log.record_failure(_name_call(name), why, sent_ms=sent_ms, detail=detail)
        if why in _UNAVAILABILITY_FAILURES:
            self._reachability.record_failure(
                sent_ms, is_refusal=why is CallFailure.UNAVAILABLE
            )
        elif why is CallFailure.RATE_LIMITED:
            self._reachability.record_answer(sent_ms)


def _name_call(name: str) -> str:
    verb = name.partition("/")[0]
    return _CALLS.get(verb, verb)


def _log_long_answer(name: str, call: PendingCall) -> None:
    """Log an answer that took long to receive, for its size or for the link."""
    if call.begun_ms is None or call.received_ms is None:
        return
    spent_ms = call.received_ms - call.begun_ms
    if spent_ms >= _LONG_ANSWER_MS:
        log_event(
            Event.STORE_ANSWER_LONG,
            call=_name_call(name),
            bytes=call.received_bytes,
            ms=round(spent_ms),
        )


def _classify_refusal(status: int) -> CallFailure:
    if status == 429:
        return CallFailure.RATE_LIMITED
    if status == 503:
        return CallFailure.UNAVAILABLE
    return CallFailure.INTERNAL if status >= 500 else CallFailure.INVALID_CALL


def _build_refusal(failure: CallFailure, status: int) -> StoreError:
    if failure is CallFailure.RATE_LIMITED:
        return StoreRateError("the store's rate limit is exceeded")
    if failure is CallFailure.UNAVAILABLE:
        return StoreUnsentError("the store turned the call away")
    if failure is CallFailure.INTERNAL:
        return StoreUnavailableError(f"the store failed: status {status}")
    return StoreError(f"the store refused the call: status {status}")
