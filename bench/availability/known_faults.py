"""Faults that are put into the product to show that the search finds them."""

import contextlib
import math
from collections.abc import Iterator
from typing import Any
from unittest import mock

from trefoilhook.scheduling import starvation

__all__ = ["KNOWN_FAULTS", "put_in"]

_start_one = starvation._start_one
_MAX_HELPED_JOBS = 4


def _return_false(*_arguments: Any, **_options: Any) -> bool:
    return False


def _return_nothing(*_arguments: Any, **_options: Any) -> dict[str, int]:
    return {}


def _return_true(*_arguments: Any, **_options: Any) -> bool:
    return True


def _return_infinity(*_arguments: Any, **_options: Any) -> float:
    return math.inf


def _return_minus_infinity(*_arguments: Any, **_options: Any) -> float:
    return -math.inf


def _help_few_jobs(assignment_round: Any, *arguments: Any) -> None:
    """Help four starved jobs in a round, as workers are rated for each of them."""
    helped = sum(
        task.attempts[-1].run.initial_pace == starvation.THROTTLED_PACE
        for task in assignment_round.started
        if task.attempts
    )
    if helped < _MAX_HELPED_JOBS:
        _start_one(assignment_round, *arguments)


async def _find_nothing(*_arguments: Any, **_options: Any) -> None:
    pass


_NO_LIMIT: dict[str, Any] = {
    "scheduling.rounds.AssignmentRound.is_overdue": _return_false,
}
"""Removes the limit of the waits beside capacity, which would hide other faults."""

KNOWN_FAULTS: dict[str, dict[str, Any]] = {
    "departures": {
        "runtime.workerfeed.has_left": _return_false,
        "runtime.shard.find_departures": _find_nothing,
    },
    "lease limits": {
        "runtime.roster.limit_leases": _return_nothing,
        "runtime.shard.has_lease_limits": _return_false,
    },
    "planned stops": {"runtime.roster.are_starts_recorded": _return_false},
    "long holds": {**_NO_LIMIT, "scheduling.headroom._MAX_HOLD_MS": 20_000.0},
    "long reservations": {
        **_NO_LIMIT,
        "scheduling.reserving._OVERDUE_DELAY_MS": 20_000.0,
        "scheduling.reserving._HORIZON_MS": 20_000.0,
    },
    "no limit of waits": _NO_LIMIT,
    "long isolation": {**_NO_LIMIT, "scheduling.isolation._ISOLATION_MS": 30_000.0},
    "long delays of suspects": {
        "scheduling.crashes._RETRY_DELAY_MS": 60_000.0,
        "scheduling.crashes._MAX_QUICK_LOSSES": 0,
        "scheduling.crashes._MAX_QUICK_SERVICE_LOSSES": 0,
    },
    "few starved jobs": {
        "scheduling.starvation._start_one": _help_few_jobs,
        "scheduling.assignment._FILLER_INTERVAL_PER_WORKER_MS": 20.0,
    },
    "late relief": {"scheduling.starvation.STARVATION_DELAY_MS": 5000.0},
    "no limit of batch waits": {"scheduling.overdue.has_live_runs": _return_true},
    "silent runs": {"scheduling.job_activity._is_live": _return_true},
    "clocks from the release": {
        "scheduling.job_activity._is_live": _return_true,
        "scheduling.job_activity.IdleTimes.record_end": _return_nothing,
        "scheduling.job_activity.IdleTimes._find_last_sign": _return_minus_infinity,
    },
    "no common causes": {"scheduling.crashes._limit_by_common_cause": _return_infinity},
    "unbounded culprits": {"scheduling.crashes._MAX_QUICK_LOSSES": 100},
}
"""Replacements of the product's objects by the name of the fault."""

KNOWN_FAULTS["no evidence at takeovers"] = {
    **KNOWN_FAULTS["departures"],
    **KNOWN_FAULTS["lease limits"],
    **KNOWN_FAULTS["planned stops"],
}


@contextlib.contextmanager
def put_in(name: str) -> Iterator[None]:
    """Put a fault into the product."""
    with contextlib.ExitStack() as stack:
        for target, value in KNOWN_FAULTS[name].items():
            stack.enter_context(mock.patch(f"trefoilhook.{target}", value))
        yield
