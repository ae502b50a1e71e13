"""Scheduler with simulated workers for the tests of this package."""

import attrs

from trefoilhook.scheduling import (
    AttemptEnd,
    Configuration,
    Demand,
    EndKind,
    Evacuations,
    Job,
    JobRecord,
    Order,
    OrderOutcome,
    PollAnswer,
    Queue,
    Running,
    Scheduler,
    SchedulerLimits,
    StartOrder,
    Step,
    StopOrder,
    UnreadableRow,
    WorkerReport,
    apply_poll_answer,
    apply_report,
    apply_start_outcome,
    apply_stop_outcome,
    collect_changes,
    confirm_change,
    plan_orders,
)

TASK_LEASE_MS = 5000.0
CLOCK_OFFSET_MS = 40_000.0
"""Offset of the workers' clocks from the owner's clock, in ms."""

QUEUE = Queue(
    name="checks",
    host="h",
    prefix="/checks/",
    service="s",
    priority=0,
    max_attempts=3,
    stretch=1.5,
    objective_ms=250.0,
)
CONFIGURATION = Configuration(version=1, queues=(QUEUE,))
SMALL = Step(count=1, demand=Demand(cpu=1000, memory_mb=100), estimate_ms=500.0)


def build_job(*steps: Step, job_id: str = "j", **fields) -> Job:
    """Build a job with the given steps, or with one small task."""
    values = {"accepted_ms": 100_000.0, **fields}
    return Job(
        job_id=job_id,
        queue="checks",
        spec="spec",
        steps=steps or (SMALL,),
        **values,
    )


@attrs.define(kw_only=True, eq=False)
class FakeWorker:
    """Simulated worker that executes all start orders and keeps its ends."""

    worker_id: str
    running: dict = attrs.Factory(dict)
    ends: list = attrs.Factory(list)
    starts: list = attrs.Factory(list)
    born_ms: int | None = None
    clock_offset_ms: float = CLOCK_OFFSET_MS

    def restart(self, now_ms: float) -> None:
        """Restart the process under the same id; its runs and ends are lost."""
        self.running.clear()
        self.ends = []
        self.born_ms = int(now_ms)
        self.clock_offset_ms = -now_ms

    def answer_poll(self, now_ms: float) -> PollAnswer:
        """Return the answer to a poll."""
        return PollAnswer(
            clock_ms=now_ms + self.clock_offset_ms,
            born_ms=self.born_ms,
            running=tuple(self.running.values()),
            ends=tuple(self.ends),
        )

    def run(self, order: StartOrder) -> None:
        """Execute a start order."""
        self.starts.append(order)
        key = (order.task, order.attempt)
        if key not in {(end.task, end.attempt) for end in self.ends}:
            self.running[key] = Running(
                task=order.task,
                attempt=order.attempt,
                checkpoint="",
                percent=0.0,
                load=0.0,
            )

    def end(self, task, attempt: int, kind: EndKind, checkpoint: str = "") -> None:
        """End a running attempt."""
        self.running.pop((task, attempt), None)
        number = len(self.ends) + 1
        self.ends.append(
            AttemptEnd(
                number=number,
                task=task,
                attempt=attempt,
                kind=kind,
                checkpoint=checkpoint,
            )
        )

    def update(self, task, attempt: int, **fields) -> None:
        """Change the reported values of a running attempt."""
        key = (task, attempt)
        self.running[key] = attrs.evolve(self.running[key], **fields)


class Shard:
    """Scheduler with simulated workers and a simulated clock."""

    def __init__(
        self,
        *,
        workers: int = 2,
        cpu: int = 4000,
        epoch: int = 1,
        settled: bool = True,
        evacuations: Evacuations | None = None,
    ) -> None:
        self.now_ms = 100_000.0
        self.settled = settled
        self.reads_entries = True
        self.raises_failures = True
        self.scheduler = Scheduler(
            epoch=epoch,
            limits=SchedulerLimits(
                task_lease_ms=TASK_LEASE_MS,
                longest_stop_ms=200.0,
                settled_at_ms=self.now_ms + 8000.0,
            ),
            configuration=CONFIGURATION,
            evacuations=evacuations,
        )
        self.workers: dict[str, FakeWorker] = {}
        for number in range(workers):
            self.add_worker(f"w{number}", cpu=cpu)

    def add_worker(self, worker_id: str, *, cpu: int = 4000, **fields) -> None:
        """Add a worker and poll it once."""
        worker = FakeWorker(worker_id=worker_id, born_ms=fields.get("born_ms"))
        self.workers.setdefault(worker_id, worker)
        report = WorkerReport(
            worker_id=worker_id,
            service="s",
            host=fields.pop("host", worker_id),
            port=1,
            failure_domain=fields.pop("failure_domain", "z"),
            capacity=Demand(cpu=cpu, memory_mb=8000),
            **fields,
        )
        apply_report(self.scheduler, report, self.now_ms)
        self.scheduler.workers[worker_id].is_in_roster = True
        self.poll(worker_id)

    def poll(self, worker_id: str) -> None:
        """Poll one worker."""
        apply_poll_answer(
            self.scheduler,
            worker_id,
            self.workers[worker_id].answer_poll(self.now_ms),
            sent_ms=self.now_ms,
            now_ms=self.now_ms,
        )

    def poll_all(self) -> None:
        """Poll all known workers."""
        for worker_id in list(self.scheduler.workers):
            self.poll(worker_id)

    def poll_with_unreadable_end(self, order: StartOrder) -> None:
        """Poll the worker of an ended attempt, with the kind of its end unreadable."""
        key = (order.task, order.attempt)
        answer = self.workers[order.worker_id].answer_poll(self.now_ms)
        (ended,) = [end for end in answer.ends if (end.task, end.attempt) == key]
        row = UnreadableRow(reason="how", is_end=True, number=ended.number, attempt=key)
        apply_poll_answer(
            self.scheduler,
            order.worker_id,
            attrs.evolve(
                answer,
                ends=tuple(end for end in answer.ends if end is not ended),
                unreadable=(row,),
            ),
            sent_ms=self.now_ms,
            now_ms=self.now_ms,
        )

    def silence(
        self, worker_id: str, outcome: OrderOutcome = OrderOutcome.NO_ANSWER
    ) -> None:
        """Simulate a failed call to a worker."""
        self.scheduler.workers[worker_id].record_failed_call(outcome, self.now_ms)

    def advance_time(self, duration_ms: float) -> None:
        """Advance the clock."""
        self.now_ms += duration_ms

    def submit(self, job: Job, *, is_new: bool = True, **fields) -> None:
        """Submit a job."""
        self.scheduler.add_job(
            JobRecord(job=job),
            revision=1,
            is_new=is_new,
            wall_ms=self.now_ms,
            **fields,
        )

    def plan(self) -> list[Order]:
        """Return the orders of one plan without executing them.

        An error that the scheduler contains is raised unless the test expects it.
        """
        if self.reads_entries:
            self.scheduler.entries.note_read(self.now_ms)
        orders = plan_orders(
            self.scheduler,
            settled=self.settled,
            now_ms=self.now_ms,
            wall_ms=self.now_ms,
        )
        if self.raises_failures:
            for failure in self.scheduler.failures.unreported:
                raise failure.error
        return orders

    def step(self) -> list[Order]:
        """Execute the orders of one plan and poll all workers 100 ms later."""
        orders = self.plan()
        for order in orders:
            worker = self.workers[order.worker_id]
            if isinstance(order, StartOrder):
                worker.run(order)
                self.answer(order, OrderOutcome.DONE)
            elif isinstance(order, StopOrder):
                if (order.task, order.attempt) in worker.running:
                    worker.end(order.task, order.attempt, EndKind.STOPPED, "c1")
                self.answer(order, OrderOutcome.DONE)
        self.advance_time(100.0)
        self.poll_all()
        return orders

    def answer(self, order: Order, outcome: OrderOutcome) -> None:
        """Report the outcome of an order to the scheduler."""
        take = apply_stop_outcome
        if isinstance(order, StartOrder):
            take = apply_start_outcome
        take(
            self.scheduler,
            order.worker_id,
            order.task,
            order.attempt,
            outcome,
            self.now_ms,
        )

    def start_one(self) -> StartOrder:
        """Run one step and return its only start order."""
        (order,) = [o for o in self.step() if isinstance(o, StartOrder)]
        return order

    def end(self, order: StartOrder, kind: EndKind, checkpoint: str = "") -> None:
        """End a started attempt and poll its worker."""
        worker = self.workers[order.worker_id]
        worker.end(order.task, order.attempt, kind, checkpoint)
        self.advance_time(10.0)
        self.poll(order.worker_id)

    def count_running(self, job_id: str = "j") -> int:
        """Return the number of running tasks of a job."""
        return sum(
            task.job_id == job_id
            for worker in self.workers.values()
            for task, _ in worker.running
        )

    def save(self) -> None:
        """Save all changes."""
        for change in collect_changes(self.scheduler):
            confirm_change(self.scheduler, change, revision=9)


def list_starts(orders: list[Order]) -> list[StartOrder]:
    """Return the start orders."""
    return [order for order in orders if isinstance(order, StartOrder)]
