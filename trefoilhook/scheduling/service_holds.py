"""Service steps that are not placed although there is capacity for them."""

from collections.abc import Collection

import attrs

from trefoilhook.scheduling.tickets import StepName

__all__ = ["Hold", "OverdueSteps", "ServiceHolds", "StepWait"]

_MAX_INTERRUPTION_MS = 800.0
"""Maximum time without ample capacity that counts as waiting, in ms. Users, who may
miss it between two samples, expect a start within 3 s: the maximum wait of 2 s, an
interruption at its end, and 0.2 s to place and start the task."""

_MAX_WAIT_MS = 2000.0
"""Time with ample capacity after which a waiting step is overdue, in ms."""


@attrs.define(kw_only=True)
class _Stretch:
    """Time for which a condition holds, including short interruptions.

    Parameters
    ----------
    max_interruption_ms : float
        Maximum duration of an interruption that is included, in ms.
    since_ms : float, optional
        Begin of the time, in ms; None if the condition has never held.
    interrupted_ms : float, optional
        Begin of the present interruption, in ms; None if there is none.
    """

    max_interruption_ms: float = 0.0
    since_ms: float | None = None
    interrupted_ms: float | None = None

    def extend(self, now_ms: float) -> float:
        """Record that the condition holds; return for how long it does, in ms."""
        if self.since_ms is None or (
            self.interrupted_ms is not None
            and now_ms - self.interrupted_ms > self.max_interruption_ms
        ):
            self.since_ms = now_ms
        self.interrupted_ms = None
        return now_ms - self.since_ms

    def measure(self, now_ms: float) -> float:
        """Return the time for which the condition has held, in ms."""
        if self.since_ms is None or (
            self.interrupted_ms is not None
            and now_ms - self.interrupted_ms > self.max_interruption_ms
        ):
            return 0.0
        return now_ms - self.since_ms

    def interrupt(self, now_ms: float) -> None:
        """Record that the condition does not hold."""
        if self.interrupted_ms is None:
            self.interrupted_ms = now_ms


@attrs.define(kw_only=True)
class Hold:
    """Wait of one service step beside capacity for it.

    Parameters
    ----------
    first_ms : float
        Time of the first round in which it could have been placed, in ms.
    interruptions : int
        Number of times that no worker could host it since then.
    """

    first_ms: float
    interruptions: int = 0
    _sufficient: _Stretch = attrs.field(factory=_Stretch, init=False)
    _ample: _Stretch = attrs.field(
        factory=lambda: _Stretch(max_interruption_ms=_MAX_INTERRUPTION_MS), init=False
    )

    def extend(self, now_ms: float, *, is_ample: bool) -> float:
        """Record that the step could be placed; return its wait that counts, in ms."""
        waited_ms = self._sufficient.extend(now_ms)
        if is_ample:
            return max(waited_ms, self._ample.extend(now_ms))
        self._ample.interrupt(now_ms)
        return waited_ms

    def interrupt(self, now_ms: float) -> None:
        """Record that no worker can host the step."""
        self.interruptions += self._sufficient.interrupted_ms is None
        self._sufficient.interrupt(now_ms)
        self._ample.interrupt(now_ms)


@attrs.define(kw_only=True)
class ServiceHolds:
    """Waits of service steps that could have been placed."""

    _holds: dict[StepName, Hold] = attrs.field(factory=dict, init=False)

    def extend(self, step: StepName, now_ms: float, *, is_ample: bool) -> float:
        """Record that a step could be placed now.

        Parameters
        ----------
        step : StepName
            The step.
        now_ms : float
            Current time, in ms.
        is_ample : bool
            Whether there is capacity for two of its tasks.

        Returns
        -------
        float
            Time for which there has been capacity without interruption, or ample
            capacity without a long one, in ms.
        """
        hold = self._holds.get(step)
        if hold is None:
            hold = self._holds[step] = Hold(first_ms=now_ms)
        return hold.extend(now_ms, is_ample=is_ample)

    def interrupt(self, step: StepName, now_ms: float) -> None:
        """Record that no worker can host a step now."""
        hold = self._holds.get(step)
        if hold is not None:
            hold.interrupt(now_ms)

    def find(self, step: StepName) -> Hold | None:
        """Return the wait of a step, or None if it could not have been placed."""
        return self._holds.get(step)

    def retain(self, waiting: Collection[StepName]) -> None:
        """Remove all steps that are not in ``waiting``."""
        for step in self._holds.keys() - waiting:
            del self._holds[step]


@attrs.frozen(kw_only=True)
class StepWait:
    """Wait of a service step for which ample capacity is available.

    Parameters
    ----------
    waited_ms : float
        Time since the start of the wait, in ms.
    interrupted_ms : float
        Time since the start of the current interruption, in ms; 0 if there is none.
    """

    waited_ms: float
    interrupted_ms: float = 0.0


@attrs.define(kw_only=True)
class OverdueSteps:
    """Tracks for how long waiting service steps have had ample capacity."""

    _stretches: dict[StepName, _Stretch] = attrs.field(factory=dict, init=False)
    _overdue: set[StepName] = attrs.field(factory=set, init=False)

    def extend(
        self, step: StepName, now_ms: float, *, since_ms: float | None = None
    ) -> None:
        """Record that a step that was not placed has ample capacity.

        Parameters
        ----------
        step : StepName
            The step.
        now_ms : float
            Current time, in ms.
        since_ms : float or None, optional
            Begin of its wait, in ms, if no earlier round has found it waiting.
        """
        stretch = self._get_or_add(step, since_ms=since_ms)
        if stretch.extend(now_ms) >= _MAX_WAIT_MS:
            self._overdue.add(step)
        else:
            self._overdue.discard(step)

    def interrupt(self, step: StepName, now_ms: float) -> None:
        """Record that a step does not have ample capacity."""
        # Without ample capacity at first, its wait begins later.
        stretch = self._get_or_add(step, since_ms=None)
        stretch.interrupt(now_ms)
        if stretch.measure(now_ms) < _MAX_WAIT_MS:
            self._overdue.discard(step)

    def _get_or_add(self, step: StepName, *, since_ms: float | None) -> _Stretch:
        stretch = self._stretches.get(step)
        if stretch is None:
            stretch = _Stretch(
                max_interruption_ms=_MAX_INTERRUPTION_MS, since_ms=since_ms
            )
            self._stretches[step] = stretch
        return stretch

    def list_waits(self, now_ms: float) -> dict[StepName, StepWait]:
        """Return the current waits by step."""
        waits: dict[StepName, StepWait] = {}
        for step, stretch in self._stretches.items():
            since_ms, interrupted_ms = stretch.since_ms, stretch.interrupted_ms
            gap_ms = 0.0 if interrupted_ms is None else now_ms - interrupted_ms
            if since_ms is not None and gap_ms <= stretch.max_interruption_ms:
                waits[step] = StepWait(
                    waited_ms=now_ms - since_ms, interrupted_ms=gap_ms
                )
        return waits

    def restore(self, step: StepName, wait: StepWait, now_ms: float) -> None:
        """Restore a wait that was recorded by the previous owner.

        The wait counts as interrupted until a round of this owner finds ample capacity.
        The step does not become overdue before that round.
        """
        self._stretches[step] = _Stretch(
            max_interruption_ms=_MAX_INTERRUPTION_MS,
            since_ms=now_ms - min(wait.waited_ms, _MAX_WAIT_MS),
            interrupted_ms=now_ms - wait.interrupted_ms,
        )

    def contains(self, step: StepName) -> bool:
        """Return whether a step is overdue."""
        return step in self._overdue

    def measure(self, step: StepName, now_ms: float) -> float:
        """Return the time for which a step has had ample capacity, in ms."""
        stretch = self._stretches.get(step)
        return stretch.measure(now_ms) if stretch is not None else 0.0

    def retain(self, waiting: Collection[StepName]) -> None:
        """Remove all steps that are not in ``waiting``."""
        for step in self._stretches.keys() - waiting:
            del self._stretches[step]
            self._overdue.discard(step)
