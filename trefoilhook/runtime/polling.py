"""Polls workers for running and ended tasks, and renews the leases of their tasks."""

from collections.abc import Callable

import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs import Event, OutageLog, describe_failure, log_event
from trefoilhook.platform import PollRequest, WorkerClient
from trefoilhook.runtime.commits import Committer
from trefoilhook.runtime.looptime import Work
from trefoilhook.runtime.losses import log_restart, log_unlisted
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.runtime.ownership import Ownership
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.runtime.turns import Turns
from trefoilhook.scheduling import (
    OrderOutcome,
    PollAnswer,
    Run,
    Scheduler,
    Worker,
    acknowledge,
    apply_poll_answer,
    extend_lease,
    handle_worker_loss,
    has_fillers_beside_services,
    has_restarted,
    is_outdated_answer,
    resolve_incarnation,
)

__all__ = ["WorkerPoller"]

_POLL_WAIT_MS = 1500
"""Time for which a poll waits for a task to end, in ms. An end is acknowledged by the
next poll, so the sum of this and the progress window must stay below 4 s, the limit for
acknowledgements."""

_SHARED_POLL_WAIT_MS = 500
"""Wait of a poll if fillers share the worker with service tasks, in ms. The tail
latency that services report covers the last half second."""

_ISOLATED_POLL_WAIT_MS = 150
"""Wait of a poll of a worker reserved for a task suspected of crashing workers, in ms.
The reservation ends once the task is seen to keep running."""

_LIMITED_POLL_WAIT_MS = 50
"""Wait of a poll that may grant no lease, in ms: the limit in the store is removed in
less, and the leases must then be extended."""

_COMMIT_WAIT_MS = 200.0
"""Maximum delay of the next poll until a worker's ends are stored, in ms. After it,
they are listed again, together with later ends. It is extended by the lag of the event
loop, which delays the write as well: the repeated polls would add to the lag."""

_MAX_COMMIT_WAIT_MS = 400.0
"""Maximum of this delay with the lag, in ms. After a poll that waits for 1,500 ms, it,
and a poll that times out after 2,700 ms, the next one is within a task lease of 5 s."""

_POLL_RETRY_PAUSE_MS = 200.0
"""Pause after a failed poll, in ms."""


class WorkerPoller:
    """Polls workers during one ownership.

    Parameters
    ----------
    clock : Clock
        Time source.
    ownership : Ownership
        Ownership whose epoch is sent as the fencing token.
    scheduler : Scheduler
        State of the shard.
    committer : Committer
        Signals when ends have been stored.
    metrics : ProcessMetrics
        Counts polls and ended attempts.
    rejections : Rejections
        Receives unreadable answers and rows of answers.
    notify : callable
        Called after each change.
    on_ownership_lost : callable
        Called when a worker has been polled by a later owner.
    on_first_answer : callable
        Called when a worker has answered for the first time.
    turns : Turns
        Turns in which answers are applied.
    extend_timeout : callable
        Returns a timeout in ms, extended by the lag of the event loop.
    switch_work : callable
        Called with the kind of the work done since the last call or task switch.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ownership: Ownership,
        scheduler: Scheduler,
        committer: Committer,
        metrics: ProcessMetrics,
        rejections: Rejections,
        notify: Callable[[], None],
        on_ownership_lost: Callable[[], None],
        on_first_answer: Callable[[], None],
        turns: Turns,
        extend_timeout: Callable[[float], float],
        switch_work: Callable[[Work], None],
    ) -> None:
        self._clock = clock
        self._ownership = ownership
        self._scheduler = scheduler
        self._committer = committer
        self._metrics = metrics
        self._rejections = rejections
        self._notify = notify
        self._on_ownership_lost = on_ownership_lost
        self._on_first_answer = on_first_answer
        self._turns = turns
        self._extend_timeout = extend_timeout
        self._switch_work = switch_work

    async def run(self, worker: Worker, client: WorkerClient) -> None:
        """Poll a worker repeatedly until it is removed."""
        worker_id = worker.report.worker_id
        outages = OutageLog(
            clock=self._clock,
            started_event=Event.WORKER_LOST,
            ended_event=Event.WORKER_BACK,
            subject={"worker": worker_id},
        )
        while self._scheduler.workers.get(worker_id) is worker:
            sent_ms = self._clock.monotonic_ms()
            result = await self._poll(worker, client, sent_ms)
            self._metrics.count("looks")
            if self._scheduler.workers.get(worker_id) is not worker:
                # Replaced by its next incarnation or removed during the poll.
                break
            if isinstance(result, PollAnswer):
                self._switch_work(Work.POLL)
                is_urgent = any(worker.urgent_cpu.values())
                await self._turns.wait(is_urgent=is_urgent)
                if self._scheduler.workers.get(worker_id) is not worker:
                    break
                worker = self._resolve_restart(worker, result)
                outages.record_answer(sent_ms=sent_ms)
                self._log_ends(worker, result)
                is_first = not worker.has_answered_token
                held = list(worker.runs)
                apply_poll_answer(
                    self._scheduler,
                    worker_id,
                    result,
                    sent_ms=sent_ms,
                    now_ms=self._clock.monotonic_ms(),
                )
                log_unlisted(worker, held, result)
                self._notify()
                if is_first:
                    self._on_first_answer()
                self._switch_work(Work.ANSWER)
                await self._wait_for_commit(worker)
                continue
            if result is OrderOutcome.FENCED:
                self._on_ownership_lost()
                return
            if result is OrderOutcome.OTHER_INCARNATION:
                log_restart(worker, self._clock.monotonic_ms())
                handle_worker_loss(self._scheduler, worker, self._clock.monotonic_ms())
                self._notify()
                break
            outages.record_failure("look", result, sent_ms=sent_ms)
            worker.record_failed_call(result, self._clock.monotonic_ms())
            await self._clock.sleep_ms(_POLL_RETRY_PAUSE_MS)

    def _resolve_restart(self, worker: Worker, answer: PollAnswer) -> Worker:
        """Return the incarnation that gave an answer, logging a restart."""
        if not has_restarted(worker, answer.born_ms):
            return worker
        now_ms = self._clock.monotonic_ms()
        log_restart(worker, now_ms, seen_in="answer")
        self._metrics.count("worker_restarts", "answer")
        successor = resolve_incarnation(self._scheduler, worker, answer.born_ms, now_ms)
        return successor or worker

    async def _poll(
        self, worker: Worker, client: WorkerClient, sent_ms: float
    ) -> PollAnswer | OrderOutcome:
        """Poll once; an unreadable answer counts as no answer."""
        worker_id = worker.report.worker_id
        try:
            result = await client.poll(self._build_poll_request(worker, sent_ms))
        except DecodeError as error:
            self._rejections.report(Event.ANSWER_INVALID, worker_id, str(error))
            return OrderOutcome.NO_ANSWER
        except Exception as error:
            self._metrics.count("call_failures", "poll")
            log_event(Event.CALL_FAILED, worker=worker_id, **describe_failure(error))
            return OrderOutcome.NO_ANSWER
        if not isinstance(result, PollAnswer):
            return result
        if is_outdated_answer(worker, result.born_ms):
            reason = "born: belongs to an earlier incarnation"
            self._rejections.report(Event.ANSWER_INVALID, worker_id, reason)
            return OrderOutcome.NO_ANSWER
        if not result.unreadable:
            self._rejections.accept(Event.ANSWER_INVALID, worker_id)
        for row in result.unreadable:
            self._rejections.report(Event.ANSWER_INVALID, worker_id, row.reason)
        return result

    def _log_ends(self, worker: Worker, poll_result: PollAnswer) -> None:
        for end in poll_result.ends:
            if worker.is_new_end(end.number):
                self._metrics.count("ends", end.kind.value)
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
        """Return the actual and estimated duration of a run, and its slowdown."""
        state = self._scheduler.jobs.get(run.task.job_id) if run is not None else None
        task = state.find_task(run.task) if run is not None and state else None
        if run is None or task is None:
            return {}
        now_ms = self._clock.monotonic_ms()
        slowing_ms = round(run.measure_throttling_loss(now_ms))
        slowed = {"slowing_ms": slowing_ms} if slowing_ms > 0 else {}
        return {
            "ran_ms": round(now_ms - run.started_ms),
            "estimate_ms": round(task.step.estimate_ms),
            **slowed,
        }

    async def _wait_for_commit(self, worker: Worker) -> None:
        """Wait until the ends that a worker listed can be acknowledged.

        A worker with unacknowledged ends answers polls immediately. Without this wait,
        it would be polled in a busy loop until the ends are stored, and forever if one
        of them is unreadable and therefore never acknowledged.
        """

        def is_acknowledged() -> bool:
            acknowledge(worker)
            return not worker.unacknowledged and worker.first_unreadable_end is None

        wait_ms = min(_MAX_COMMIT_WAIT_MS, self._extend_timeout(_COMMIT_WAIT_MS))
        with trio.move_on_after(wait_ms / 1000.0):
            await self._committer.wait_until(is_acknowledged)

    def _build_poll_request(self, worker: Worker, now_ms: float) -> PollRequest:
        if not worker.has_answered_token:
            return PollRequest(
                token=self._ownership.epoch, acknowledged=0, deadline_ms=None, wait_ms=0
            )
        if worker.silence is not None:
            # No new deadline: an unanswered poll may take effect late, so each one
            # would postpone the time from which the tasks may be started elsewhere.
            # Its process may have restarted under the same id; an acknowledgement would
            # then discard ends that the new process has not reported yet.
            may_have_restarted = worker.born_ms is not None
            return PollRequest(
                token=self._ownership.epoch,
                acknowledged=0 if may_have_restarted else worker.acknowledged,
                deadline_ms=None,
                wait_ms=0,
            )
        wait_ms = _POLL_WAIT_MS
        if worker.is_lease_limited:
            wait_ms = _LIMITED_POLL_WAIT_MS
        elif worker.is_reserved:
            wait_ms = _ISOLATED_POLL_WAIT_MS
        elif has_fillers_beside_services(self._scheduler, worker):
            wait_ms = _SHARED_POLL_WAIT_MS
        return PollRequest(
            token=self._ownership.epoch,
            acknowledged=acknowledge(worker),
            deadline_ms=self._extend_lease(worker, now_ms),
            wait_ms=wait_ms,
        )

    def _extend_lease(self, worker: Worker, now_ms: float) -> float | None:
        """Return the new lease deadline of a worker; None if it may get no lease."""
        if worker.is_lease_limited:
            return None
        # The next owner does not expect later leases on a worker that is not in the
        # groups of this one.
        granted_ms = now_ms if worker.is_in_roster else self._ownership.requested_ms
        return extend_lease(self._scheduler, worker, granted_ms)
