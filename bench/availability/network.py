"""Network between simulated processes, in one event loop on virtual time."""

import contextlib
import contextvars
import enum
import random
from collections.abc import Awaitable, Callable, Iterator
from typing import Any
from unittest import mock
from urllib.parse import urlencode

import attrs
import trio

from trefoilhook.exceptions import AnswerLostError, NotSentError, TransportFailure
from trefoilhook.http import HttpRequest, HttpResponse
from trefoilhook.http.json_client import _encode

__all__ = ["Fault", "Network", "get_caller", "run_as"]

Address = tuple[str, int]
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

_LINK_MS = 1.0
"""One-way delay, in ms."""

_RETRANSMISSION_MS = (200.0, 1600.0)
"""Range of the delay of a message on a lossy link, in ms."""

_caller: contextvars.ContextVar[str] = contextvars.ContextVar("caller", default="")
_network: contextvars.ContextVar["Network"] = contextvars.ContextVar("network")


class Fault(enum.Enum):
    """Fault of the link from a process to an address."""

    CUT = "cut"
    """Nothing arrives, and nothing is returned."""

    ONE_WAY = "one way"
    """Requests arrive, and nothing is returned."""

    LOSSY = "lossy"
    """Three messages in ten are delayed by retransmissions."""


@attrs.define(kw_only=True)
class Network:
    """Addresses of processes, and the faults of the links to them.

    Parameters
    ----------
    random : Random
        Random number generator.
    """

    random: random.Random
    handlers: dict[Address, Handler] = attrs.Factory(dict)
    _faults: dict[tuple[str, Address], Fault] = attrs.Factory(dict)

    def set_fault(self, caller: str, address: Address, fault: Fault | None) -> None:
        """Set or remove the fault of a link; an empty caller stands for all."""
        if fault is None:
            self._faults.pop((caller, address), None)
        else:
            self._faults[caller, address] = fault

    def find_fault(self, caller: str, address: Address) -> Fault | None:
        """Return the fault of a link, or None."""
        return self._faults.get((caller, address)) or self._faults.get(("", address))

    async def deliver(self, address: Address, request: HttpRequest) -> HttpResponse:
        """Send a request of the current process, and return the response."""
        caller = _caller.get()
        fault = self.find_fault(caller, address)
        if fault is Fault.CUT:
            await trio.sleep_forever()
        await self._travel(fault)
        handler = self.handlers.get(address)
        if handler is None:
            raise NotSentError("refused", failure=TransportFailure.REFUSED)
        try:
            response = await handler(request)
        except trio.BrokenResourceError as error:
            if self.find_fault(caller, address) in (Fault.CUT, Fault.ONE_WAY):
                await trio.sleep_forever()
            raise AnswerLostError("closed", failure=TransportFailure.CLOSED) from error
        fault = self.find_fault(caller, address)
        if fault in (Fault.CUT, Fault.ONE_WAY):
            await trio.sleep_forever()
        await self._travel(fault)
        return response

    async def _travel(self, fault: Fault | None) -> None:
        delay_ms = _LINK_MS
        if fault is Fault.LOSSY and self.random.random() < 0.3:
            delay_ms += self.random.uniform(*_RETRANSMISSION_MS)
        await trio.sleep(delay_ms / 1000.0)

    @contextlib.contextmanager
    def replace_clients(self) -> Iterator[None]:
        """Make the clients of the product use this network."""
        token = _network.set(self)
        targets = ("trefoilhook.platform.store", "trefoilhook.platform.workers")
        with contextlib.ExitStack() as stack:
            for target in targets:
                stack.enter_context(mock.patch(f"{target}.JsonClient", _Client))
            yield
        _network.reset(token)


class _Client:
    """Replacement of `trefoilhook.http.JsonClient` on a simulated network."""

    def __init__(self, *, address: Address, **_options: Any) -> None:
        self._address = address

    async def send_request(
        self,
        method: str,
        path: str,
        *,
        timeout_ms: float,
        query: Any = None,
        body: Any = None,
        headers: tuple[tuple[str, str], ...] = (),
        pause_ms: float = 0.0,
        note_received: Callable[[int], None] | None = None,
    ) -> HttpResponse:
        """Send one call and return the response."""
        target = path if not query else f"{path}?{urlencode(query)}"
        data = b"" if body is None else _encode(body).encode()
        request = HttpRequest(method=method, target=target, headers=headers, body=data)
        with trio.move_on_after(timeout_ms / 1000.0):
            response = await _network.get().deliver(self._address, request)
            if note_received is not None:
                note_received(len(response.body))
            return response
        raise AnswerLostError("timed out", failure=TransportFailure.TIMED_OUT)

    async def close(self) -> None:
        """Do nothing: there are no connections."""
        await trio.lowlevel.checkpoint()


def get_caller() -> str:
    """Return the name of the current process."""
    return _caller.get()


async def run_as(
    name: str, function: Callable[..., Awaitable[Any]], *arguments: Any
) -> Any:
    """Run a function as a process with a name; call it in a task of its own."""
    _caller.set(name)
    return await function(*arguments)
