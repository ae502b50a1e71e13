"""Times of changes in the store, from the revisions that its answers tell."""

import math
from collections import deque

import attrs

__all__ = ["RevisionLog"]

_MAX_ANSWERS = 64
"""Maximum number of answers that are kept: a minute of watches of one second."""


@attrs.frozen(kw_only=True)
class _Answer:
    sent_ms: float
    received_ms: float
    as_of: int
    is_current: bool


class RevisionLog:
    """Bounds of the times at which changes were made, by this instance's own clock.

    The store has no clock that callers could read, but its revisions increase with each
    change. Times are monotonic and also pass while the machine is suspended.
    """

    def __init__(self) -> None:
        self._answers: deque[_Answer] = deque(maxlen=_MAX_ANSWERS)
        self._failures = 0

    @property
    def oldest_revision(self) -> int | None:
        """Revision from which on changes can be dated; None if none can."""
        return self._answers[0].as_of if self._answers else None

    def note(
        self,
        *,
        sent_ms: float,
        received_ms: float,
        as_of: int,
        is_current: bool = True,
        failures: int = 0,
    ) -> None:
        """Record an answer of the store.

        Parameters
        ----------
        sent_ms : float
            Time before the request was sent, in ms.
        received_ms : float
            Time after the answer was received, in ms.
        as_of : int
            Revision that the store had reached.
        is_current : bool, optional
            Whether it was the store's latest revision. An answer with changes may end
            at the last one of them.
        failures : int, optional
            Number of calls to the store that have failed so far. A new one means that
            the earlier answers may be from before an outage.
        """
        if failures != self._failures:
            self._answers.clear()
            self._failures = failures
        if self._answers and as_of < self._answers[-1].as_of:
            # The revisions are those of another store.
            self._answers.clear()
        self._answers.append(
            _Answer(
                sent_ms=sent_ms,
                received_ms=received_ms,
                as_of=as_of,
                is_current=is_current,
            )
        )

    def reset(self) -> None:
        """Forget all answers, after one that failed.

        Bounds then hold only for changes made while the store was answering.
        """
        self._answers.clear()

    def find_earliest_ms(self, revision: int) -> float:
        """Return a time before which a change was not made, in ms.

        Parameters
        ----------
        revision : int
            Revision of the change.

        Returns
        -------
        float
            The time; minus infinity if it is unknown.
        """
        return max(
            (
                each.sent_ms
                for each in self._answers
                if each.is_current and each.as_of < revision
            ),
            default=-math.inf,
        )

    def find_latest_ms(self, revision: int) -> float:
        """Return a time by which a change was made, in ms.

        Parameters
        ----------
        revision : int
            Revision of the change.

        Returns
        -------
        float
            The time; infinity if it is unknown.
        """
        return min(
            (each.received_ms for each in self._answers if each.as_of >= revision),
            default=math.inf,
        )
