"""Client of the platform's configuration store.

The only module that knows the store's protocol: HTTP/1.1 with JSON bodies, described in
``docs/INTERFACES.md``.
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
from trefoilhook.exchange import (
    PlatformClient,
    Query,
    decode_response,
    parse_error_name,
)
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

_SERVER_ERROR_STATUS = 500
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
    """Client of the store; calls may be made concurrently.

    Parameters
    ----------
    host : str
        IP address of the store.
    port : int
        Port of the store.
    clock : Clock
        Time source.
    timeout_ms : float
        Timeout of a call, in ms; the wait of a watch is added to it.
    token : str, optional
        Bearer token sent with each call.

    Attributes
    ----------
    calls : Counter
        Number of calls made, by operation and outcome.

    Notes
    -----
    Every method raises ``StoreUnavailableError`` if no response was received: a change
    may have taken effect, unless the error's ``is_proved_unsent`` is set. Every method
    raises ``StoreRateError`` if the store's rate limit was exceeded; in that case
    nothing has changed.
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
        """Return the entry at ``key``; None if there is none."""
        response = await self._call("GET", "/v1/entry", query={"key": key})
        return _decode(response, _GetAnswer).entry

    async def list_entries(
        self, prefix: str, *, after_key: str = "", limit: int = 500
    ) -> StorePage:
        """Return a page of the entries whose keys begin with ``prefix``.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after_key : str, optional
            Return only keys after this one; the ``next_key`` of the previous page.
        limit : int, optional
            Maximum number of entries in the page.
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
            Revision that the key must have; 0 if it must be absent.
        lease_id : str, optional
            Lease to attach the key to.

        Returns
        -------
        int
            The store revision of the change.

        Raises
        ------
        ConflictError
            If the key has another revision; carries the current entry.
        LeaseLostError
            If the lease has expired; nothing has changed.
        RequestError
            If the value is too large; nothing has changed.
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
        """Grant a new lease that expires after ``ttl_ms`` ms without a keep-alive."""
        body = _GrantRequest(ttl_ms=ttl_ms)
        return _decode(await self._call("POST", "/v1/leases", body=body), Lease)

    async def keep_alive(self, lease_id: str) -> int:
        """Renew the lease for its full time to live.

        Returns
        -------
        int
            The store's revision.

        Raises
        ------
        LeaseLostError
            If the lease has expired; its keys have been deleted.
        """
        path = f"/v1/leases/{quote(lease_id, safe='')}/keep-alive"
        return _decode(await self._call("POST", path), _RevisionAnswer).revision

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke the lease and delete its keys.

        Raises
        ------
        LeaseLostError
            If the lease had already expired.
        """
        await self._call("DELETE", f"/v1/leases/{quote(lease_id, safe='')}")

    async def watch(
        self, prefix: str, *, after_revision: int, wait_ms: float
    ) -> WatchBatch:
        """Wait until a key under ``prefix`` changes.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after_revision : int
            Return only later changes; the revision of the last batch or page.
        wait_ms : float
            Longest wait at the store, in ms, after which an empty batch is returned.
            The call fails if no response arrives within this time and the timeout.
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
            response = await self._platform.send_request(
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
            _raise_store_error(response)
        return response


def _decode(response: HttpResponse, kind: type[_T]) -> _T:
    try:
        return decode_response(response, kind)
    except AnswerLostError as error:
        raise StoreUnavailableError(str(error)) from error


def _raise_store_error(response: HttpResponse) -> NoReturn:
    name = parse_error_name(response)
    if name == "conflict":
        current = _decode(response, _ConflictAnswer).current
        raise ConflictError("the key has another revision", current=current)
    if name == "rate_exceeded":
        raise StoreRateError("the store's rate limit is exceeded")
    if name == "lease_lost":
        raise LeaseLostError("the lease has expired")
    if response.status >= _SERVER_ERROR_STATUS:
        raise StoreUnavailableError(f"the store returned status {response.status}")
    raise StoreError(f"the store refused the call: {response.status} {name}")
