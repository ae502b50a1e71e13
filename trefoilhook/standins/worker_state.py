"""State of a simulated worker, without any input or output."""

from collections import OrderedDict
from collections.abc import Callable, Sequence

import attrs

from trefoilhook.standins.core import RefusalError
from trefoilhook.standins.worker_measure import Measurements, compute_slowdowns
from trefoilhook.standins.worker_task import (
    AttemptKey,
    PairSlowdown,
    SimulatedTask,
    StartRecord,
    build_task,
)
from trefoilhook.workers import (
    CommandKind,
    CommandResult,
    CommandStatus,
    LeaseRequest,
    Resources,
    TaskState,
    WorkerCommand,
    WorkerHeartbeat,
    WorkerInventory,
)

__all__ = ["WorkerSettings", "WorkerState"]

_MAX_SETTLED_JOBS = 10_000
_CORES_TOLERANCE = 1e-9
_NO_RESOURCES = Resources(cores=0.0, memory_bytes=0)


@attrs.frozen(kw_only=True)
class WorkerSettings:
    """Configuration of a worker.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    capacity : Resources, optional
        Total resources.
    report_interval_ms : float, optional
        Time between measurements, in ms.
    report_lag_ms : float, optional
        Delay until a measurement is reported, in ms.
    slowdowns : tuple of PairSlowdown, optional
        Slowdown of each pair of task classes, unknown to the owner; other pairs do not
        slow each other.
    is_black_hole : bool, optional
        Whether every task fails as soon as it is started.
    """

    worker_id: str
    capacity: Resources = Resources(cores=32.0, memory_bytes=125_000_000_000)
    report_interval_ms: float = 1_000.0
    report_lag_ms: float = 5_000.0
    slowdowns: tuple[PairSlowdown, ...] = ()
    is_black_hole: bool = False


@attrs.define(kw_only=True)
class _HeldLease:
    owner_id: str
    epoch: int
    expires_at_ms: float


def _add(left: Resources, right: Resources) -> Resources:
    return Resources(
        cores=left.cores + right.cores,
        memory_bytes=left.memory_bytes + right.memory_bytes,
        accelerators=left.accelerators + right.accelerators,
    )


def _fits(wanted: Resources, capacity: Resources) -> bool:
    return (
        wanted.cores <= capacity.cores + _CORES_TOLERANCE
        and wanted.memory_bytes <= capacity.memory_bytes
        and wanted.accelerators <= capacity.accelerators
    )


def _get_maximum(left: Resources, right: Resources) -> Resources:
    return Resources(
        cores=max(left.cores, right.cores),
        memory_bytes=max(left.memory_bytes, right.memory_bytes),
        accelerators=max(left.accelerators, right.accelerators),
    )


class WorkerState:
    """Lease, tasks and records of a worker.

    Parameters
    ----------
    settings : WorkerSettings
        Configuration of the worker.
    monotonic_ms : callable
        Returns the worker's time, in ms. Simulated time only advances at the start of
        each call.
    """

    def __init__(
        self, *, settings: WorkerSettings, monotonic_ms: Callable[[], float]
    ) -> None:
        self._now_ms = monotonic_ms
        self._advanced_to_ms = monotonic_ms()
        self._measurements = Measurements(
            next_ms=self._advanced_to_ms + settings.report_interval_ms
        )
        self._lease: _HeldLease | None = None
        self._highest_epoch = 0
        self._tasks: dict[AttemptKey, SimulatedTask] = {}
        self._settled_attempts: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self._started: list[SimulatedTask] = []
        self.settings = settings
        self.high_water = _NO_RESOURCES
        self.refused_starts: list[WorkerCommand] = []

    @property
    def reserved_resources(self) -> Resources:
        """Total resources reserved by running tasks."""
        total = _NO_RESOURCES
        for task in self._list_running():
            total = _add(total, task.reserved_resources)
        return total

    def list_records(self, *, wall_offset_ms: float) -> tuple[StartRecord, ...]:
        """Return records of all task starts, in order."""
        self.advance()
        worker_id = self.settings.worker_id
        return tuple(
            task.record(worker_id, wall_offset_ms=wall_offset_ms)
            for task in self._started
        )

    def reset_state(self) -> None:
        """Lose all state, as after a crash and restart of the worker."""
        self.advance()
        for task in self._list_running():
            task.end(TaskState.STOPPED, at_ms=self._advanced_to_ms)
            task.is_lost = True
        self._tasks.clear()
        self._settled_attempts.clear()
        self._measurements.clear()
        self._lease = None
        self._highest_epoch = 0

    def acquire_lease(self, request: LeaseRequest) -> WorkerInventory:
        """Grant the lease; refused if fenced or lost."""
        self.advance()
        self._check_takeover(request)
        self._highest_epoch = request.epoch
        self._lease = _HeldLease(
            owner_id=request.owner_id,
            epoch=request.epoch,
            expires_at_ms=self._now_ms() + request.ttl_ms,
        )
        return WorkerInventory(
            worker_id=self.settings.worker_id,
            capacity=self.settings.capacity,
            tasks=tuple(task.describe() for task in self._tasks.values()),
        )

    def _check_takeover(self, request: LeaseRequest) -> None:
        if request.epoch > self._highest_epoch:
            return
        lease = self._lease
        if request.epoch < self._highest_epoch:
            raise RefusalError(status=409, error="fenced")
        # The tasks of an expired lease were stopped. Granting it again at the same
        # epoch would hide the expiry from its owner.
        if lease is None:
            raise RefusalError(status=410, error="lease_lost")
        if lease.owner_id != request.owner_id:
            raise RefusalError(status=409, error="fenced")

    def renew(self, epoch: int, ttl_ms: float) -> WorkerHeartbeat:
        """Extend the lease and return ended tasks and measurements."""
        lease = self.check_lease(epoch)
        lease.expires_at_ms = self._now_ms() + ttl_ms
        ended = (
            task.describe()
            for task in self._tasks.values()
            if task.state is not TaskState.RUNNING
        )
        return WorkerHeartbeat(
            tasks=tuple(ended),
            report=self._measurements.find_report(
                self._advanced_to_ms, lag_ms=self.settings.report_lag_ms
            ),
        )

    def check_lease(self, epoch: int) -> _HeldLease:
        """Return the lease if ``epoch`` is its current epoch; otherwise refuse."""
        self.advance()
        if epoch < self._highest_epoch:
            raise RefusalError(status=409, error="fenced")
        if self._lease is None or epoch > self._highest_epoch:
            raise RefusalError(status=410, error="lease_lost")
        return self._lease

    def command(
        self, epoch: int, commands: Sequence[WorkerCommand]
    ) -> tuple[CommandResult, ...]:
        """Execute commands in order."""
        self.check_lease(epoch)
        return tuple(self._execute(epoch, command) for command in commands)

    def _execute(self, epoch: int, command: WorkerCommand) -> CommandResult:
        key = (command.job_id, command.attempt_epoch, command.attempt_sequence)
        if command.kind is CommandKind.START:
            status = self._start(epoch, key, command)
        elif key not in self._tasks:
            status = CommandStatus.UNKNOWN_TASK
            if command.kind is CommandKind.STOP:
                self._settle_attempt(key)
        else:
            status = self._apply_command(self._tasks[key], command)
        task = self._tasks.get(key)
        return CommandResult(
            job_id=command.job_id,
            attempt_epoch=command.attempt_epoch,
            attempt_sequence=command.attempt_sequence,
            status=status,
            task=task.describe() if task is not None else None,
        )

    def _start(
        self, epoch: int, key: AttemptKey, command: WorkerCommand
    ) -> CommandStatus:
        if command.resources is None:
            return CommandStatus.NOT_POSSIBLE
        if key in self._tasks:
            return CommandStatus.ALREADY_DONE
        if self._is_stale(key):
            return CommandStatus.STALE_ATTEMPT
        if not _fits(
            _add(self.reserved_resources, command.resources), self.settings.capacity
        ):
            self.refused_starts.append(command)
            return CommandStatus.NO_CAPACITY
        task = build_task(command)
        task.owner_epoch = epoch
        task.started_ms = self._advanced_to_ms
        self._tasks[key] = task
        self._started.append(task)
        self.high_water = _get_maximum(self.high_water, self.reserved_resources)
        if self.settings.is_black_hole:
            task.end(TaskState.FAILED, at_ms=task.started_ms, result="failed at start")
        return CommandStatus.DONE

    def _is_stale(self, key: AttemptKey) -> bool:
        # A delayed start may arrive after the attempt's own stop, or after its
        # repetition was acknowledged. Accepting it would run the attempt twice.
        job_id, *attempt = key
        if self._settled_attempts.get(job_id, (0, 0)) >= tuple(attempt):
            return True
        return any(
            known[0] == job_id and known[1:] > tuple(attempt) for known in self._tasks
        )

    def _settle_attempt(self, key: AttemptKey) -> None:
        job_id, *attempt = key
        latest = max(
            self._settled_attempts.pop(job_id, (0, 0)), (attempt[0], attempt[1])
        )
        self._settled_attempts[job_id] = latest
        if len(self._settled_attempts) > _MAX_SETTLED_JOBS:
            self._settled_attempts.popitem(last=False)

    def _apply_command(
        self, task: SimulatedTask, command: WorkerCommand
    ) -> CommandStatus:
        is_running = task.state is TaskState.RUNNING
        if command.kind is CommandKind.ACKNOWLEDGE:
            if is_running:
                return CommandStatus.NOT_POSSIBLE
            del self._tasks[task.key]
            self._settle_attempt(task.key)
            return CommandStatus.DONE
        if not is_running:
            return CommandStatus.ALREADY_DONE
        if command.kind is CommandKind.STOP:
            task.end(TaskState.STOPPED, at_ms=self._advanced_to_ms)
        elif command.kind is CommandKind.CHECKPOINT_EVICT:
            task.end(TaskState.EVICTED, at_ms=self._advanced_to_ms)
        elif command.kind is CommandKind.UNTHROTTLE:
            task.throttle_factor = 1.0
        elif not 0 < command.throttle_factor < 1:
            return CommandStatus.NOT_POSSIBLE
        else:
            task.throttle_factor = command.throttle_factor
        return CommandStatus.DONE

    def _list_running(self) -> list[SimulatedTask]:
        return [
            task for task in self._tasks.values() if task.state is TaskState.RUNNING
        ]

    def advance(self) -> None:
        """Advance simulated time to the present, event by event."""
        now_ms = self._now_ms()
        while self._advanced_to_ms < now_ms:
            self._step(now_ms)

    def _step(self, now_ms: float) -> None:
        running = self._list_running()
        slowdowns = self._compute_slowdowns(running)
        speeds = [
            task.throttle_factor / slowdown
            for task, slowdown in zip(running, slowdowns, strict=True)
        ]
        ends = [
            self._advanced_to_ms + (task.work_ms - task.done_ms) / speed
            for task, speed in zip(running, speeds, strict=True)
        ]
        until_ms = min(now_ms, self._measurements.next_ms, *ends)
        if self._lease is not None:
            until_ms = min(until_ms, self._lease.expires_at_ms)
        elapsed_ms = max(0.0, until_ms - self._advanced_to_ms)
        self._advanced_to_ms = max(until_ms, self._advanced_to_ms)
        for task, speed, end_ms in zip(running, speeds, ends, strict=True):
            task.done_ms = min(task.work_ms, task.done_ms + elapsed_ms * speed)
            if end_ms <= until_ms:
                self._finish(task)
        if self._measurements.next_ms <= until_ms:
            self._measure()
        if self._lease is not None and self._lease.expires_at_ms <= until_ms:
            self._expire_lease()

    def _finish(self, task: SimulatedTask) -> None:
        task.done_ms = task.work_ms
        state = TaskState.FAILED if task.is_failing else TaskState.FINISHED
        task.end(state, at_ms=self._advanced_to_ms, result=task.outcome)

    def _expire_lease(self) -> None:
        # Tasks must not outlive the lease: another owner may start them elsewhere once
        # the lease has certainly expired.
        self._lease = None
        for task in self._list_running():
            task.end(TaskState.STOPPED, at_ms=self._advanced_to_ms)

    def _compute_slowdowns(self, running: Sequence[SimulatedTask]) -> list[float]:
        return compute_slowdowns(
            running,
            pairs=self.settings.slowdowns,
            cores=self.settings.capacity.cores,
        )

    def _measure(self) -> None:
        running = self._list_running()
        slowdowns = self._compute_slowdowns(running)
        self._measurements.add(
            tuple(map(SimulatedTask.measure, running, slowdowns)),
            interval_ms=self.settings.report_interval_ms,
            lag_ms=self.settings.report_lag_ms,
        )
