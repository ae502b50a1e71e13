"""Looking at workers: what runs there, what has ended, and the lease on it all."""

from collections.abc import Callable

import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs import DependencyLog, Event, log_event
from trefoilhook.platform import LookRequest, WorkerClient
from trefoilhook.runtime.commits import Committer
from trefoilhook.runtime.losses import log_restart, log_unlisted
from trefoilhook.runtime.metrics import Figures
from trefoilhook.runtime.ownership import Tenure
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.scheduling import (
    Look,
    OrderOutcome,
    Run,
    Scheduler,
    Worker,
    acknowledge,
    extend_lease,
    lose_worker,
    shares_with_services,
    take_look,
)

__all__ = ["WorkerWatch"]

_LOOK_WAIT_MS = 1500
"""How long a look waits for an end, in ms. An end is acknowledged with the next look,
so this and the progress window stay under the 4 s in which that has to happen."""

_CLOSE_LOOK_WAIT_MS = 500
"""The same where fillers run beside service tasks, whose tail latency is a figure of
the last half second."""

_ISOLATED_LOOK_WAIT_MS = 150
"""The same where a suspected task keeps a worker for itself: that ends once it is seen
to run on."""

_SAVING_WAIT_MS = 200.0
"""How long the next look at a worker waits for its ends to be in the store, in ms; then
they are listed once more, with what has ended since."""

_LOOK_RETRY_MS = 200.0
"""Pause after a look that failed, in ms."""


class WorkerWatch:
    """Looks at workers for one tenure, each in a task of its own.

    Parameters
    ----------
    clock : Clock
        Where time comes from.
    tenure : Tenure
        The ownership.
    scheduler : Scheduler
        The shard's state.
    committer : Committer
        Tells when ends are in the store.
    figures : Figures
        Where looks and ends are counted.
    rejections : Rejections
        Told of answers, and of rows of them, that can't be read.
    notify : callable
        Called with each news.
    depose : callable
        Called when a worker has seen a later owner.
    meet : callable
        Called when a worker has answered for the first time.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tenure: Tenure,
        scheduler: Scheduler,
        committer: Committer,
        figures: Figures,
        rejections: Rejections,
        notify: Callable[[], None],
        depose: Callable[[], None],
        meet: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._tenure = tenure
        self._scheduler = scheduler
        self._committer = committer
        self._figures = figures
        self._rejections = rejections
        self._notify = notify
        self._depose = depose
        self._meet = meet

    async def run(self, worker: Worker, client: WorkerClient) -> None:
        """Look at a worker again and again, until it is gone."""
        worker_id = worker.report.worker_id
        outages = DependencyLog(
            clock=self._clock,
            lost=Event.WORKER_LOST,
            regained=Event.WORKER_BACK,
            subject={"worker": worker_id},
        )
        while self._scheduler.workers.get(worker_id) is worker:
            sent_ms = self._clock.monotonic_ms()
            result = await self._look(worker, client, sent_ms)
            self._figures.count("looks")
            if isinstance(result, Look):
                outages.record_answer(sent_ms=sent_ms)
                self._log_ends(worker, result)
                is_first = not worker.fenced
                held = list(worker.runs)
                take_look(
                    self._scheduler,
                    worker_id,
                    result,
                    sent_ms=sent_ms,
                    now_ms=self._clock.monotonic_ms(),
                )
                log_unlisted(worker, held, result)
                self._notify()
                if is_first:
                    self._meet()
                await self._wait_for_saving(worker)
                continue
            if result is OrderOutcome.FENCED:
                self._depose()
                return
            if result is OrderOutcome.OTHER_LIFE:
                log_restart(worker, self._clock.monotonic_ms())
                lose_worker(self._scheduler, worker, self._clock.monotonic_ms())
                self._notify()
                break
            outages.record_failure("look", result, sent_ms=sent_ms)
            worker.note_silence(result, self._clock.monotonic_ms())
            await self._clock.sleep_ms(_LOOK_RETRY_MS)

    async def _look(
        self, worker: Worker, client: WorkerClient, sent_ms: float
    ) -> Look | OrderOutcome:
        """Look once; an answer that can't be read proves nothing, as none does."""
        worker_id = worker.report.worker_id
        try:
            result = await client.look(self._build_look(worker, sent_ms))
        except DecodeError as error:
            self._rejections.report(Event.ANSWER_INVALID, worker_id, str(error))
            return OrderOutcome.NO_ANSWER
        if not isinstance(result, Look):
            return result
        if not result.unread:
            self._rejections.accept(Event.ANSWER_INVALID, worker_id)
        for row in result.unread:
            self._rejections.report(Event.ANSWER_INVALID, worker_id, row.reason)
        return result

    def _log_ends(self, worker: Worker, look: Look) -> None:
        for end in look.ends:
            if worker.is_new_end(end.number):
                self._figures.count("ends", end.kind.value)
                log_event(
                    Event.TASK_ENDED,
                    task=str(end.task),
                    attempt=end.attempt,
                    worker=worker.report.worker_id,
                    how=end.kind.value,
                    number=end.number,
                    **self._describe_run(worker.runs.get((end.task, end.attempt))),
                )

    def _describe_run(self, run: Run | None) -> dict[str, int]:
        """Return how long a run took and was to take, and what its pace cost."""
        state = self._scheduler.jobs.get(run.task.job_id) if run is not None else None
        task = state.find_task(run.task) if run is not None and state else None
        if run is None or task is None:
            return {}
        now_ms = self._clock.monotonic_ms()
        slowing_ms = round(run.measure_slowing(now_ms))
        slowed = {"slowing_ms": slowing_ms} if slowing_ms > 0 else {}
        return {
            "ran_ms": round(now_ms - run.started_ms),
            "estimate_ms": round(task.step.estimate_ms),
            **slowed,
        }

    async def _wait_for_saving(self, worker: Worker) -> None:
        """Wait until the ends that a worker listed can be acknowledged.

        A worker that has ends to list answers a look at once: without this pause it
        would be looked at again and again until they are in the store; one end that
        can't be read, and so is never acknowledged, would have it so for good.
        """
        with trio.move_on_after(_SAVING_WAIT_MS / 1000.0):
            while worker.unacknowledged or worker.unread_from is not None:
                acknowledge(worker)
                if worker.unacknowledged or worker.unread_from is not None:
                    await self._committer.saved.wait()

    def _build_look(self, worker: Worker, now_ms: float) -> LookRequest:
        if not worker.fenced:
            return LookRequest(
                token=self._tenure.epoch, acknowledged=0, deadline_ms=None, wait_ms=0
            )
        if worker.silence is not None:
            # No new deadline: a look without an answer may be carried out late, so
            # each would put off the time from which its tasks may run elsewhere.
            return LookRequest(
                token=self._tenure.epoch,
                acknowledged=worker.acknowledged,
                deadline_ms=None,
                wait_ms=0,
            )
        wait_ms = _LOOK_WAIT_MS
        if worker.is_reserved:
            wait_ms = _ISOLATED_LOOK_WAIT_MS
        elif shares_with_services(self._scheduler, worker):
            wait_ms = _CLOSE_LOOK_WAIT_MS
        return LookRequest(
            token=self._tenure.epoch,
            acknowledged=acknowledge(worker),
            deadline_ms=extend_lease(self._scheduler, worker, now_ms),
            wait_ms=wait_ms,
        )
