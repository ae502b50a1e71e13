"""Repetition of overdue reads of the store over a new connection."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

import trio

from trefoilhook.exceptions import StoreError

__all__ = ["read_with_second_attempt"]

_Answer = TypeVar("_Answer")

_RECEIPT_CHECK_S = 0.1
"""Interval between two checks whether an answer is still being received, in s."""


class _Connections(Protocol):
    async def close(self) -> None:
        """Close the idle connections."""


async def read_with_second_attempt(
    read: Callable[[bool], Awaitable[_Answer]],
    *,
    connections: _Connections,
    overdue_ms: float,
    is_final: Callable[[StoreError], bool],
    is_receiving: Callable[[], bool] = lambda: False,
) -> _Answer:
    """Return the first answer to a read, which is repeated once if it is overdue.

    A connection can be dead without an error while new ones work. The first attempt
    goes on beside the second one, so that the answer of a slow store is still received.

    Parameters
    ----------
    read : callable
        Makes an attempt; the argument tells whether it is the second one.
    connections : object
        Its idle connections are closed before the second attempt, as they may be dead.
    overdue_ms : float
        Time after which the second attempt is made, in ms. None is made after an error.
    is_final : callable
        Tells whether an error makes the other attempt useless.
    is_receiving : callable, optional
        Tells whether an answer to the first attempt is being received. A second one
        would only share its link.

    Raises
    ------
    StoreError
        If no attempt was answered: the error of the last one to fail.
    """
    answers: list[_Answer] = []
    errors: list[StoreError] = []
    first_ended = trio.Event()
    async with trio.open_nursery() as nursery:

        async def attempt(is_second: bool) -> None:
            try:
                answers.append(await read(is_second))
            except StoreError as error:
                errors.append(error)
                if not is_final(error):
                    return
            finally:
                first_ended.set()
            nursery.cancel_scope.cancel()

        nursery.start_soon(attempt, False)
        with trio.move_on_after(overdue_ms / 1000.0):
            await first_ended.wait()
        while is_receiving() and not first_ended.is_set():
            with trio.move_on_after(_RECEIPT_CHECK_S):
                await first_ended.wait()
        if not first_ended.is_set():
            await connections.close()
            await attempt(True)
    if answers:
        return answers[0]
    raise errors[-1]
