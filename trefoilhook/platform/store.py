"""The platform's key-value store.

The only module that knows its calls. Values are bytes for the caller and base64 text
on the wire.
"""

import base64
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from trefoilhook.clock import Clock
from trefoilhook.decoding import (
    check_table,
    parse_table,
    read_flag,
    read_integer,
    read_list,
    read_text,
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
from trefoilhook.logs import CallFailure, DependencyLog, Event
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
"""Connections to the store; a waiting watch holds one, so do calls in flight."""

_CALLS = {
    "kv-key": "get",
    "kv-range": "list",
    "kv-watch": "watch",
    "kv-txn": "commit",
    "kv-lease": "grant lease",
    "kv-keep": "keep lease",
    "kv-lease-end": "end lease",
}
"""Names of the calls in logs."""


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise DecodeError("value: not base64") from error


def _decode_item(value: Any) -> Item:
    row = check_table(value, "item")
    return Item(
        key=read_text(row, "key"),
        value=_decode_value(read_text(row, "value", default="")),
        revision=read_integer(row, "revision"),
        created=read_integer(row, "created", default=0),
    )


def _decode_change(value: Any) -> Change:
    row = check_table(value, "event")
    if not read_flag(row, "deleted", default=False):
        item = _decode_item(row)
        return Change(key=item.key, revision=item.revision, item=item)
    return Change(
        key=read_text(row, "key"), revision=read_integer(row, "revision"), item=None
    )


def _decode_page(table: Mapping[str, Any]) -> tuple[list[Item], int, bool]:
    items = [_decode_item(row) for row in read_list(table, "items")]
    has_more = read_flag(table, "has_more", default=False)
    return items, read_integer(table, "as_of"), has_more


def _decode_changes(table: Mapping[str, Any]) -> Changes:
    rows = read_list(table, "events")
    return Changes(
        changes=tuple(_decode_change(row) for row in rows),
        as_of=read_integer(table, "as_of"),
    )


def _decode_standing(table: Mapping[str, Any]) -> tuple[Item, ...]:
    """Decode what stands at expected keys; one that is absent has no revision."""
    rows = (check_table(row, "item") for row in read_list(table, "items", default=[]))
    return tuple(_decode_item(row) for row in rows if row.get("revision"))


def _encode(transaction: Transaction) -> dict[str, Any]:
    return {
        "precondition": [
            {"key": row.key, "revision": row.revision}
            for row in transaction.expectations
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
    """Calls to the store; each may be made at the same time as others.

    Parameters
    ----------
    address : (str, int)
        Where the store listens.
    timeout_ms : float
        Longest time for one call, in ms; a watch may wait on top of it.
    clock : Clock
        Where time comes from.

    Attributes
    ----------
    answers, failures : int
        Calls that were answered with what was asked, and those that were not.

    Notes
    -----
    Outages are logged here, once for all callers: a caller that handles an error and
    tries again has nothing to add.

    Every method raises ``StoreUnavailableError`` when no answer came back: a change
    may then have taken effect, or may still, unless the error's ``is_proved_unsent``
    is set. ``StoreRateError`` means that nothing was done.
    """

    def __init__(self, *, address: Address, timeout_ms: float, clock: Clock) -> None:
        self._client = JsonClient(address=address, max_connections=_MAX_CONNECTIONS)
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._log = DependencyLog(
            clock=clock, lost=Event.STORE_DOWN, regained=Event.STORE_BACK
        )
        self.answers = 0
        self.failures = 0

    async def get(self, key: str) -> Item | None:
        """Return the item at ``key``; None when there is none."""
        response = await self._call("GET", "kv-key", query={"key": key}, accept=(404,))
        if response.status == 404:
            return None
        return self._read(response, _decode_item)

    async def list_items(self, prefix: str) -> Listing:
        """Read every key under ``prefix``, page by page.

        ``as_of`` is the revision of the first page: a watch from there sees again
        what changed while the later pages were read, so nothing is missed.
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
            If the store no longer has the changes since then.
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
            raise HistoryLostError(f"the history after {after} is gone")
        return self._read(response, _decode_changes)

    async def commit(
        self, transaction: Transaction, *, timeout_ms: float | None = None
    ) -> int:
        """Make the changes and return the store's revision of them.

        Parameters
        ----------
        transaction : Transaction
            What to change.
        timeout_ms : float, optional
            Longest time for the call, in ms, if it is another than usual.

        Raises
        ------
        PreconditionError
            If an expectation doesn't hold; carries what stands at its keys.
        LeaseLostError
            If a lease of the changes has ended; nothing changed.
        """
        response = await self._call(
            "POST",
            "kv-txn",
            body=_encode(transaction),
            accept=(404, 412),
            extra_ms=(timeout_ms or self._timeout_ms) - self._timeout_ms,
        )
        if response.status == 404:
            raise LeaseLostError("the lease has ended")
        if response.status == 412:
            items = self._read(response, _decode_standing)
            raise PreconditionError("a key is at another revision", items=items)
        return self._read(response, lambda table: read_integer(table, "revision"))

    async def grant_lease(self, ttl_ms: int) -> int:
        """Take a lease that ends ``ttl_ms`` after this call came, if not renewed."""
        response = await self._call("POST", "kv-lease", body={"ttl_ms": ttl_ms})
        return self._read(response, lambda table: read_integer(table, "lease", least=1))

    async def keep_lease(self, lease: int) -> None:
        """Renew a lease.

        Raises
        ------
        LeaseLostError
            If it has ended; its keys are gone.
        """
        response = await self._call("POST", f"kv-keep/{lease}", body={}, accept=(404,))
        if response.status == 404:
            raise LeaseLostError("the lease has ended")

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys; one that has ended is fine."""
        await self._call("DELETE", f"kv-lease-end/{lease}", accept=(404,))

    def move(self, address: Address) -> None:
        """Call the store at another address from now on."""
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
            response = await self._client.exchange(
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
            failure = _judge_refusal(response.status)
            self._fail(name, failure, sent_ms, f"status {response.status}")
            raise _build_refusal(failure, response.status)
        self.answers += 1
        self._log.record_answer(sent_ms=sent_ms)
        return response

    def _read(
        self, response: HttpResponse, decode: Callable[[dict[str, Any]], _Answer]
    ) -> _Answer:
        """Decode an answer; one that can't be read tells as much as none at all."""
        try:
            return decode(parse_table(response.body))
        except DecodeError as error:
            now_ms = self._clock.monotonic_ms()
            self._fail("read", CallFailure.UNREADABLE, now_ms, str(error))
            raise StoreUnavailableError(f"unreadable answer: {error}") from error

    def _fail(self, name: str, why: CallFailure, sent_ms: float, detail: str) -> None:
        self.failures += 1
        verb = name.partition("/")[0]
        call = _CALLS.get(verb, verb)
        self._log.record_failure(call, why, sent_ms=sent_ms, detail=detail)


def _judge_refusal(status: int) -> CallFailure:
    if status == 429:
        return CallFailure.RATE_LIMITED
    if status == 503:
        return CallFailure.TURNED_AWAY
    return CallFailure.INTERNAL if status >= 500 else CallFailure.REFUSED


def _build_refusal(failure: CallFailure, status: int) -> StoreError:
    if failure is CallFailure.RATE_LIMITED:
        return StoreRateError("the store's rate is used up")
    if failure is CallFailure.TURNED_AWAY:
        return StoreUnsentError("the store turned the call away")
    if failure is CallFailure.INTERNAL:
        return StoreUnavailableError(f"the store answered {status}")
    return StoreError(f"the store refused the call: {status}")
