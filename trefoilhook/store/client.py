"""Adapter to the platform's configuration store.

The only module that knows how the store is spoken to: HTTP/1.1 with JSON bodies,
described in ``docs/INTERFACES.md``.
"""

from collections import Counter
from typing import NoReturn, TypeVar
from urllib.parse import quote

import attrs

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    AnswerLostError,
    LeaseLostError,
    NotSentError,
    RequestError,
    StoreError,
    StoreRateError,
    StoreUnavailableError,
    StoreUnsentError,
)
from trefoilhook.exchange import PlatformClient, Query, decode_answer, read_error_name
from trefoilhook.http import HttpResponse
from trefoilhook.results import ResultCode
from trefoilhook.store.core import (
    MAX_VALUE_BYTES,
    ConflictError,
    Lease,
    StoreEntry,
    StorePage,
    SwapRequest,
    WatchBatch,
)

__all__ = ["StoreClient"]

_SERVER_FAULT = 500
_T = TypeVar("_T")


@attrs.frozen(kw_only=True)
class _GetAnswer:
    entry: StoreEntry | None
    revision: int


@attrs.frozen(kw_only=True)
class _RevisionAnswer:
    revision: int


@attrs.frozen(kw_only=True)
class _ConflictAnswer:
    current: StoreEntry | None


@attrs.frozen(kw_only=True)
class _GrantRequest:
    ttl_ms: float


class StoreClient:
    """Calls to the store; each may be made at the same time as others.

    Parameters
    ----------
    host : str
        Address of the store, an IP number.
    port : int
        Port of the store.
    clock : Clock
        Where time comes from.
    timeout_ms : float
        Longest time for one call, in ms; a watch may wait on top of it.
    token : str, optional
        Bearer token sent with each call.

    Attributes
    ----------
    calls : Counter
        Calls made, by operation and outcome.

    Notes
    -----
    Every method raises ``StoreUnavailableError`` when no answer came back: a change
    may then have taken effect, unless the error's ``is_proved_unsent`` is set. Every
    method raises ``StoreRateError`` when the store refused the call for its rate;
    nothing changed then.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        clock: Clock,
        timeout_ms: float,
        token: str | None = None,
    ) -> None:
        self._clock = clock
        self.calls: Counter[tuple[str, ...]] = Counter()
        self._platform = PlatformClient(
            host=host, port=port, timeout_ms=timeout_ms, token=token
        )

    async def get(self, key: str) -> StoreEntry | None:
        """Return the entry at ``key``; None when there is none."""
        response = await self._call("GET", "/v1/entry", query={"key": key})
        return _decode(response, _GetAnswer).entry

    async def list_entries(
        self, prefix: str, *, after_key: str = "", limit: int = 500
    ) -> StorePage:
        """Return a page of the entries whose keys begin with ``prefix``.

        Parameters
        ----------
        prefix : str
            Beginning of the keys.
        after_key : str, optional
            Only keys after this one; a page's ``next_key``.
        limit : int, optional
            Most entries of the page.
        """
        query: Query = {"prefix": prefix, "after_key": after_key, "limit": limit}
        response = await self._call("GET", "/v1/entries", query=query)
        return _decode(response, StorePage)

    async def swap(
        self,
        key: str,
        value: bytes | None,
        *,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> int:
        """Change ``key`` if it is still at ``expected_revision``.

        Parameters
        ----------
        key : str
            Path of the key.
        value : bytes or None
            The new value, at most ``MAX_VALUE_BYTES``; None deletes the key.
        expected_revision : int
            Revision that the key must have; 0 when it must be absent.
        lease_id : str, optional
            Lease that the key is to go with.

        Returns
        -------
        int
            The store revision of the change.

        Raises
        ------
        ConflictError
            If the key is at another revision; carries what stands there.
        LeaseLostError
            If the lease has lapsed; nothing changed.
        RequestError
            If the value is too large; nothing changed.
        """
        if value is not None and len(value) > MAX_VALUE_BYTES:
            message = f"{len(value)} bytes are too many for {key}"
            raise RequestError(message, code=ResultCode.TOO_LARGE)
        request = SwapRequest(
            key=key,
            value=value,
            expected_revision=expected_revision,
            lease_id=lease_id,
        )
        response = await self._call("POST", "/v1/swap", body=request)
        return _decode(response, _RevisionAnswer).revision

    async def grant_lease(self, ttl_ms: float) -> Lease:
        """Take a new lease that lapses after ``ttl_ms`` ms without a keep-alive."""
        body = _GrantRequest(ttl_ms=ttl_ms)
        return _decode(await self._call("POST", "/v1/leases", body=body), Lease)

    async def keep_alive(self, lease_id: str) -> int:
        """Start the lease's time anew.

        Returns
        -------
        int
            The store's revision.

        Raises
        ------
        LeaseLostError
            If the lease has lapsed; its keys are gone.
        """
        path = f"/v1/leases/{quote(lease_id, safe='')}/keep-alive"
        return _decode(await self._call("POST", path), _RevisionAnswer).revision

    async def revoke_lease(self, lease_id: str) -> None:
        """End the lease and delete its keys.

        Raises
        ------
        LeaseLostError
            If the lease had lapsed before.
        """
        await self._call("DELETE", f"/v1/leases/{quote(lease_id, safe='')}")

    async def watch(
        self, prefix: str, *, after_revision: int, wait_ms: float
    ) -> WatchBatch:
        """Wait until something under ``prefix`` changes.

        Parameters
        ----------
        prefix : str
            Beginning of the keys.
        after_revision : int
            Only later changes count: the revision of the last batch or page.
        wait_ms : float
            Longest wait at the store, in ms; then the batch is empty. A watch that is
            silent for longer than this and the timeout is given up.
        """
        query: Query = {
            "prefix": prefix,
            "after_revision": after_revision,
            "wait_ms": wait_ms,
        }
        response = await self._call("GET", "/v1/watch", query=query, extra_ms=wait_ms)
        return _decode(response, WatchBatch)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._platform.close()

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: Query | None = None,
        body: object = None,
        extra_ms: float = 0.0,
    ) -> HttpResponse:
        operation = f"{method} {path.split('/')[2]}"
        outcome = "no answer"
        try:
            response = await self._platform.exchange(
                method, path, query=query, body=body, extra_ms=extra_ms
            )
            outcome = "ok" if response.status == 200 else "refused"
        except NotSentError as error:
            raise StoreUnsentError(str(error)) from error
        except AnswerLostError as error:
            raise StoreUnavailableError(str(error)) from error
        finally:
            self.calls[operation, outcome] += 1
        if response.status != 200:
            _raise_refusal(response)
        return response


def _decode(response: HttpResponse, kind: type[_T]) -> _T:
    try:
        return decode_answer(response, kind)
    except AnswerLostError as error:
        raise StoreUnavailableError(str(error)) from error


def _raise_refusal(response: HttpResponse) -> NoReturn:
    name = read_error_name(response)
    if name == "conflict":
        current = _decode(response, _ConflictAnswer).current
        raise ConflictError("the key is at another revision", current=current)
    if name == "rate_exceeded":
        raise StoreRateError("the store's rate is used up")
    if name == "lease_lost":
        raise LeaseLostError("the lease has lapsed")
    if response.status >= _SERVER_FAULT:
        raise StoreUnavailableError(f"the store answered {response.status}")
    raise StoreError(f"the store refused the call: {response.status} {name}")
