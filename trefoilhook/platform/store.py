"""Client of the platform's key-value store.

Values are bytes in this interface and base64 text on the wire.
"""

import base64
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from trefoilhook.clock import Clock
from trefoilhook.decoding import (
    check_object,
    parse_object,
    read_boolean,
    read_integer,
    read_list,
    read_string,
)
from trefoilhook.exceptions import (
    AnswerLostError,
    DecodeError,
    HistoryLostError,
    LeaseLostError,
    NotSentError,
    StoreError,
    StoreRateError,
    StoreUnavailableError,
    StoreUnsentError,
)
from trefoilhook.http import HttpResponse, JsonClient
from trefoilhook.logs import CallFailure, Event, OutageLog
from trefoilhook.platform.core import Address
from trefoilhook.platform.messages import (
    Change,
    Changes,
    Item,
    Listing,
    PreconditionError,
    Transaction,
)

__all__ = ["KeyValueStore"]

_Answer = TypeVar("_Answer")

_MAX_CONNECTIONS = 24
"""Maximum connections to the store. Each waiting watch and call in flight uses one."""

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


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise DecodeError("value: not base64") from error


def _decode_item(value: Any) -> Item:
    row = check_object(value, "item")
    return Item(
        key=read_string(row, "key"),
        value=_decode_value(read_string(row, "value", default="")),
        revision=read_integer(row, "revision"),
        created=read_integer(row, "created", default=0),
    )


def _decode_change(value: Any) -> Change:
    row = check_object(value, "event")
    if not read_boolean(row, "deleted", default=False):
        item = _decode_item(row)
        return Change(key=item.key, revision=item.revision, item=item)
    return Change(
        key=read_string(row, "key"), revision=read_integer(row, "revision"), item=None
    )


def _decode_page(table: Mapping[str, Any]) -> tuple[list[Item], int, bool]:
    items = [_decode_item(row) for row in read_list(table, "items")]
    has_more = read_boolean(table, "has_more", default=False)
    return items, read_integer(table, "as_of"), has_more


def _decode_changes(table: Mapping[str, Any]) -> Changes:
    rows = read_list(table, "events")
    return Changes(
        changes=tuple(_decode_change(row) for row in rows),
        as_of=read_integer(table, "as_of"),
    )


def _decode_current_items(table: Mapping[str, Any]) -> tuple[Item, ...]:
    """Decode the current items of preconditions; an absent key has no revision."""
    rows = (check_object(row, "item") for row in read_list(table, "items", default=[]))
    return tuple(_decode_item(row) for row in rows if row.get("revision"))


def _encode(transaction: Transaction) -> dict[str, Any]:
    return {
        "precondition": [
            {"key": row.key, "revision": row.revision}
            for row in transaction.preconditions
        ],
        "puts": [
            {
                "key": put.key,
                "value": base64.b64encode(put.value).decode("ascii"),
                **({"lease": put.lease} if put.lease else {}),
            }
            for put in transaction.puts
        ],
        "remove": list(transaction.removals),
    }


class KeyValueStore:
    """Client of the store; calls may be made concurrently.

    Parameters
    ----------
    address : (str, int)
        Address of the store.
    timeout_ms : float
        Timeout of a call in ms, to which the wait of a watch is added.
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
        self._client = JsonClient(address=address, max_connections=_MAX_CONNECTIONS)
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._log = OutageLog(
            clock=clock, started_event=Event.STORE_DOWN, ended_event=Event.STORE_BACK
        )
        self.answers = 0
        self.failures = 0

    async def get(self, key: str) -> Item | None:
        """Return the item at ``key``, or None if the key does not exist."""
        response = await self._call("GET", "kv-key", query={"key": key}, accept=(404,))
        if response.status == 404:
            return None
        return self._read(response, _decode_item)

    async def list_items(self, prefix: str) -> Listing:
        """Read all keys under ``prefix``, page by page.

        ``as_of`` is the revision of the first page, so that a watch from there includes
        all changes made while the other pages were read.
        """
        items: list[Item] = []
        as_of = 0
        query: dict[str, str | int] = {"prefix": prefix}
        while True:
            response = await self._call("GET", "kv-range", query=query)
            page, page_as_of, has_more = self._read(response, _decode_page)
            as_of = as_of or page_as_of
            items.extend(page)
            if not has_more or not page:
                return Listing(items=tuple(items), as_of=as_of)
            query["after"] = items[-1].key

    async def watch(self, prefix: str, *, after: int, wait_ms: int) -> Changes:
        """Wait until something under ``prefix`` changes after revision ``after``.

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
        response = await self._call(
            "GET", "kv-watch", query=query, extra_ms=wait_ms, accept=(410,)
        )
        if response.status == 410:
            raise HistoryLostError(f"history after revision {after} is unavailable")
        return self._read(response, _decode_changes)

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
            body=_encode(transaction),
            accept=(404, 412),
            extra_ms=(timeout_ms or self._timeout_ms) - self._timeout_ms,
        )
        if response.status == 404:
            raise LeaseLostError("the lease has expired")
        if response.status == 412:
            items = self._read(response, _decode_current_items)
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
        response = await self._call("POST", f"kv-keep/{lease}", body={}, accept=(404,))
        if response.status == 404:
            raise LeaseLostError("the lease has expired")

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove its keys; an expired lease is not an error."""
        await self._call("DELETE", f"kv-lease-end/{lease}", accept=(404,))

    def set_address(self, address: Address) -> None:
        """Change the address of the store for later calls."""
        self._client = JsonClient(address=address, max_connections=_MAX_CONNECTIONS)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()

    async def _call(
        self,
        method: str,
        name: str,
        *,
        query: Mapping[str, str | int] | None = None,
        body: Any = None,
        extra_ms: float = 0.0,
        accept: tuple[int, ...] = (),
    ) -> HttpResponse:
        sent_ms = self._clock.monotonic_ms()
        try:
            response = await self._client.send_request(
                method,
                f"/trefoilhook/{name}",
                query=query,
                body=body,
                timeout_ms=self._timeout_ms + extra_ms,
            )
        except NotSentError as error:
            self._fail(name, CallFailure.NOT_SENT, sent_ms, str(error))
            raise StoreUnsentError(str(error)) from error
        except AnswerLostError as error:
            self._fail(name, CallFailure.NO_ANSWER, sent_ms, str(error))
            raise StoreUnavailableError(str(error)) from error
        if response.status not in (200, *accept):
            failure = _classify_refusal(response.status)
            self._fail(name, failure, sent_ms, f"status {response.status}")
            raise _build_refusal(failure, response.status)
        self.answers += 1
        self._log.record_answer(sent_ms=sent_ms)
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
        verb = name.partition("/")[0]
        call = _CALLS.get(verb, verb)
        self._log.record_failure(call, why, sent_ms=sent_ms, detail=detail)


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
