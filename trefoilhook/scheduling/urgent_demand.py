"""Recent use of the workers of a service by urgent tasks.

Urgent tasks are those that end and whose processors are counted: neither fillers nor
service tasks.
"""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

import attrs

from trefoilhook.decoding import (
    check_object,
    parse_object,
    read_integer,
    read_list,
    read_number,
    read_string,
)
from trefoilhook.exceptions import DecodeError
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.models import Demand, Step

__all__ = ["UrgentDemands", "decode_urgent_demands", "is_urgent"]

_WINDOW_MS = 8000.0
"""Length of a window of which the maximum is kept, in ms. The maximum of the last one
to two windows counts: bursts of urgent jobs come at intervals of seconds."""

_MIN_INTERVAL_MS = 50.0
"""Minimum time between two samples, in ms: urgent tasks run for longer."""

_SIZE_WEIGHT = 0.02
"""Weight of one step's requirements in the moving averages, which cover some 50 steps.
"""

_MAX_DEMANDS = 1000
"""Maximum number of decoded demands, one for each service and priority."""

_MAX_CPU = 1e12
"""Maximum decoded demand, in thousandths of a core."""


def is_urgent(step: Step) -> bool:
    """Return whether the tasks of a step end, and hold counted processors."""
    return not (step.filler or step.long_running)


@attrs.define(kw_only=True)
class _Demand:
    """Demand of one service and priority, in thousandths of a core and MB."""

    peak_cpu: int = 0
    earlier_peak_cpu: int = 0
    mean_cpu: float = 0.0
    mean_mb: float = 0.0

    def add_size(self, room: Demand) -> None:
        """Update the mean requirements of a task by those of one step."""
        if not self.mean_cpu:
            self.mean_cpu, self.mean_mb = float(room.cpu), float(room.memory_mb)
            return
        self.mean_cpu += _SIZE_WEIGHT * (room.cpu - self.mean_cpu)
        self.mean_mb += _SIZE_WEIGHT * (room.memory_mb - self.mean_mb)


@attrs.define(kw_only=True)
class UrgentDemands:
    """Demands of urgent tasks by service and priority.

    Parameters
    ----------
    version : int
        Number of changes of a maximum.
    """

    version: int = 0
    _demands: dict[tuple[str, int], _Demand] = attrs.field(
        factory=lambda: defaultdict(_Demand), init=False
    )
    _sampled_ms: float = attrs.field(default=float("-inf"), init=False)
    _window_ms: float = attrs.field(default=float("-inf"), init=False)

    def record_size(self, service: str, priority: int, room: Demand) -> None:
        """Record the requirements of the tasks of a waiting step."""
        self._demands[service, priority].add_size(room)

    def record_use(
        self,
        workers: Iterable[Worker],
        waiting: Mapping[tuple[str, int], int],
        now_ms: float,
    ) -> None:
        """Record what urgent tasks hold and wait for.

        Parameters
        ----------
        workers : iterable of Worker
            All workers.
        waiting : mapping of (str, int) to int
            Processors that waiting tasks need, by service and priority, in thousandths
            of a core.
        now_ms : float
            Current time, in ms.
        """
        if now_ms - self._sampled_ms < _MIN_INTERVAL_MS:
            return
        self._sampled_ms = now_ms
        if now_ms - self._window_ms >= _WINDOW_MS:
            self._window_ms = now_ms
            self.version += 1
            for demand in self._demands.values():
                demand.earlier_peak_cpu, demand.peak_cpu = demand.peak_cpu, 0
        use = Counter(waiting)
        for worker in workers:
            for priority, cpu in worker.urgent_cpu.items():
                use[worker.report.service, priority] += cpu
        for key, cpu in use.items():
            demand = self._demands[key]
            if cpu > demand.peak_cpu:
                demand.peak_cpu = cpu
                self.version += 1

    def compute_missing(
        self,
        service: str,
        priority: int,
        *,
        workers: Iterable[Worker],
        limit_cpu: float,
    ) -> tuple[float, Demand]:
        """Return what urgent tasks may need beyond what they hold.

        Parameters
        ----------
        service : str
            Service of the workers.
        priority : int
            Lowest priority of the urgent tasks that count.
        workers : iterable of Worker
            Workers of the service.
        limit_cpu : float
            Maximum demand that counts, in thousandths of a core.

        Returns
        -------
        missing_cpu : float
            Recent maximum of their use less what they hold, in thousandths of a core.
        part : Demand
            Mean requirements of one of these tasks.
        """
        demands = [
            demand
            for (name, other), demand in self._demands.items()
            if name == service and other <= priority and demand.mean_cpu
        ]
        if not demands:
            return 0.0, Demand()
        peak_cpu = sum(max(each.peak_cpu, each.earlier_peak_cpu) for each in demands)
        held_cpu = sum(
            cpu
            for worker in workers
            for other, cpu in worker.urgent_cpu.items()
            if other <= priority
        )
        largest = max(demands, key=lambda each: each.mean_cpu)
        part = Demand(cpu=round(largest.mean_cpu), memory_mb=round(largest.mean_mb))
        return min(float(peak_cpu), limit_cpu) - held_cpu, part

    def encode(self) -> bytes:
        """Encode the demands for the next owner."""
        rows = [
            {
                "service": service,
                "priority": priority,
                "peak_cpu": max(demand.peak_cpu, demand.earlier_peak_cpu),
                "mean_cpu": round(demand.mean_cpu),
                "mean_mb": round(demand.mean_mb),
            }
            for (service, priority), demand in self._demands.items()
            if demand.mean_cpu
        ]
        return json.dumps({"demands": rows}, separators=(",", ":")).encode()

    def restore(self, data: bytes) -> None:
        """Replace the demands by those of the previous owner.

        Raises
        ------
        DecodeError
            If the data is invalid.
        """
        demands = decode_urgent_demands(data)
        self._demands.clear()
        self._demands.update(demands)


def decode_urgent_demands(data: bytes) -> dict[tuple[str, int], _Demand]:
    """Decode the output of `UrgentDemands.encode`.

    Raises
    ------
    DecodeError
        If the data is invalid.
    """
    rows = read_list(parse_object(data), "demands")
    if len(rows) > _MAX_DEMANDS:
        raise DecodeError("demands: too many rows")
    demands: dict[tuple[str, int], _Demand] = {}
    for row in rows:
        table = check_object(row, "demand")
        key = (read_string(table, "service"), read_integer(table, "priority"))
        demands[key] = _Demand(
            peak_cpu=round(read_number(table, "peak_cpu", maximum=_MAX_CPU)),
            mean_cpu=read_number(table, "mean_cpu", minimum=1.0, maximum=_MAX_CPU),
            mean_mb=read_number(table, "mean_mb", maximum=_MAX_CPU),
        )
    return demands
