"""Job service of an instance; calls are forwarded to the owner of the job's shard."""

import heapq
from collections.abc import Callable, Sequence

import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    OutcomeError,
    RequestError,
    TransportError,
    TrefoilhookError,
)
from trefoilhook.inner import Call, InnerNode
from trefoilhook.inner.messages_pb2 import (
    JobCancel,
    JobPage,
    JobQuery,
    JobSubmit,
    JobView,
)
from trefoilhook.instances import WorkerRecord
from trefoilhook.jobs.core import Job, JobSpec, JobState
from trefoilhook.jobs.journal import JobJournal
from trefoilhook.jobs.listing import WorkerPartition
from trefoilhook.jobs.messages import WorkerAddress
from trefoilhook.jobs.quotas import FindQuota, split_quota
from trefoilhook.jobs.registry import JobRegistry
from trefoilhook.jobs.runner import ShardRunner
from trefoilhook.jobs.settings import JobSettings
from trefoilhook.placement import Policy, Resources
from trefoilhook.results import ResultCode
from trefoilhook.settings import ShardSettings
from trefoilhook.shards import (
    Ownership,
    OwnershipChange,
    ShardKind,
    format_shard_id,
    hash_to_shard,
)
from trefoilhook.workers import WorkerClient

__all__ = ["JobService"]

_CALL_TIMEOUT_MS = 5_000.0
_RETRY_MS = 50.0
_RETRIED_CODES = frozenset({ResultCode.NO_OWNER, ResultCode.OWNER_UNREACHABLE})


class JobService:
    """Runs the worker shards owned by this instance and forwards calls for the others.

    Parameters
    ----------
    instance_id : str
        Id of this instance.
    ownership : Ownership
        Shard table with the current owners.
    inner : InnerNode
        Connections to the peer instances.
    open_journal : callable
        Opens the journal of a shard at an epoch.
    list_workers : callable
        Returns all workers in the instance list.
    open_worker : callable
        Opens a client for a worker.
    policy : callable
        Returns the current placement policy.
    find_quota : callable
        Returns the quota of a team over all shards, or None for no limit.
    clock : Clock
        Clock.
    settings : JobSettings
        Timeouts, intervals and limits.
    shards : ShardSettings
        Numbers of request and worker shards.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        ownership: Ownership,
        inner: InnerNode,
        open_journal: Callable[[str, int], JobJournal],
        list_workers: Callable[[], Sequence[WorkerRecord]],
        open_worker: Callable[[WorkerAddress], WorkerClient],
        policy: Callable[[], Policy],
        find_quota: FindQuota,
        clock: Clock,
        settings: JobSettings,
        shards: ShardSettings,
    ) -> None:
        self._instance_id = instance_id
        self._ownership = ownership
        self._inner = inner
        self._open_journal = open_journal
        self._list_workers = list_workers
        self._open_worker = open_worker
        self._policy = policy
        self._find_quota = find_quota
        self._clock = clock
        self._settings = settings
        self._shards = shards
        self._split = WorkerPartition(shards=shards)
        self._runners: dict[str, ShardRunner] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._changes = ownership.subscribe()
        inner.register_handler(JobSubmit, self._handle_submit)
        inner.register_handler(JobQuery, self._handle_query)
        inner.register_handler(JobCancel, self._handle_cancel)

    async def run(self) -> None:
        """Run the shards owned by this instance until cancelled."""
        async with trio.open_nursery() as nursery:
            async for change in self._changes:
                if change.shard_id.startswith(ShardKind.WORKER.value):
                    self._apply_ownership_change(change, nursery)

    async def submit(self, message: JobSubmit) -> JobView:
        """Submit a job to the owner of its shard.

        Raises
        ------
        TrefoilhookError
            If the job was not recorded, or may not have been; see the result code.
        """
        page = await self._call_owner(self._find_shard(message.job_id), message)
        return page.jobs[0]

    async def read(self, *, team: str, job_id: str, is_explained: bool) -> JobView:
        """Return one job.

        Raises
        ------
        RequestError
            If the team has no such job.
        """
        query = JobQuery(team=team, job_id=job_id, is_explained=is_explained, limit=1)
        page = await self._call_owner(self._find_shard(job_id), query)
        if not page.jobs:
            raise RequestError(f"no job {job_id}", code=ResultCode.NOT_FOUND)
        return page.jobs[0]

    async def list_page(
        self, *, team: str, kind: str, after_job_id: str, limit: int
    ) -> JobPage:
        """Return a page of a team's jobs from all shards, ordered by job id."""
        pages: list[Sequence[JobView]] = []
        for index in range(self._shards.worker_shards):
            query = JobQuery(
                team=team, kind=kind, after_job_id=after_job_id, limit=limit + 1
            )
            page = await self._call_owner(
                format_shard_id(ShardKind.WORKER, index), query
            )
            pages.append(list(page.jobs))
        merged = list(heapq.merge(*pages, key=lambda view: view.job_id))
        page_jobs = merged[:limit]
        has_more = len(merged) > limit
        return JobPage(
            jobs=page_jobs, next_after_job_id=page_jobs[-1].job_id if has_more else ""
        )

    async def cancel(self, *, team: str, job_ids: Sequence[str]) -> list[str]:
        """Cancel jobs, with one call per shard; return the ids of those that exist."""
        by_shard: dict[str, list[str]] = {}
        for job_id in job_ids:
            by_shard.setdefault(self._find_shard(job_id), []).append(job_id)
        found: list[str] = []
        for shard_id, ids in by_shard.items():
            page = await self._call_owner(shard_id, JobCancel(team=team, job_ids=ids))
            found.extend(view.job_id for view in page.jobs)
        return found

    def list_registries(self) -> tuple[JobRegistry, ...]:
        """Return the job registries of the shards running on this instance."""
        return tuple(runner.registry for runner in self._runners.values())

    def _find_shard(self, job_id: str) -> str:
        return hash_to_shard(ShardKind.WORKER, job_id.encode(), self._shards)

    def _apply_ownership_change(
        self, change: OwnershipChange, nursery: trio.Nursery
    ) -> None:
        scope = self._scopes.pop(change.shard_id, None)
        if scope is not None:
            scope.cancel()
        self._runners.pop(change.shard_id, None)
        if not change.is_owned:
            return
        runner = self._build_runner(change.shard_id, change.epoch)
        self._runners[change.shard_id] = runner
        self._scopes[change.shard_id] = trio.CancelScope()
        nursery.start_soon(self._run_scoped, runner, self._scopes[change.shard_id])

    async def _run_scoped(self, runner: ShardRunner, scope: trio.CancelScope) -> None:
        with scope:
            await runner.run()

    def _build_runner(self, shard_id: str, epoch: int) -> ShardRunner:
        return ShardRunner(
            shard_id=shard_id,
            epoch=epoch,
            owner_id=self._instance_id,
            may_act=lambda: self._ownership.get_serving_epoch(shard_id) == epoch,
            journal=self._open_journal(shard_id, epoch),
            list_workers=lambda: self._list_shard_workers(shard_id),
            open_worker=self._open_worker,
            policy=self._policy,
            find_quota=self._find_shard_quota,
            clock=self._clock,
            settings=self._settings,
            seed=epoch,
        )

    def _find_shard_quota(self, team: str) -> Resources | None:
        quota = self._find_quota(team)
        return quota and split_quota(quota, self._shards.worker_shards)

    def _list_shard_workers(self, shard_id: str) -> Sequence[WorkerRecord]:
        return self._split.select(self._list_workers(), shard_id)

    async def _call_owner(
        self, shard_id: str, message: JobSubmit | JobQuery | JobCancel
    ) -> JobPage:
        """Call the owner of the shard, retrying until it answers or the call times out.

        All calls are idempotent: submission and cancellation are keyed by job id.
        """
        message.shard = int(shard_id.rsplit("-", 1)[1])
        deadline_ms = self._clock.monotonic_ms() + _CALL_TIMEOUT_MS
        while True:
            error: TrefoilhookError
            try:
                return await self._call_owner_once(shard_id, message, deadline_ms)
            except TransportError as failure:
                error = failure
            except OutcomeError as failure:
                if failure.code not in _RETRIED_CODES:
                    raise
                error = failure
            if self._clock.monotonic_ms() + _RETRY_MS >= deadline_ms:
                raise error
            await self._clock.sleep_ms(_RETRY_MS)

    async def _call_owner_once(
        self,
        shard_id: str,
        message: JobSubmit | JobQuery | JobCancel,
        deadline_ms: float,
    ) -> JobPage:
        owner = self._ownership.find_owner(shard_id)
        if owner is None:
            raise OutcomeError(f"{shard_id} has no owner", code=ResultCode.NO_OWNER)
        timeout_ms = deadline_ms - self._clock.monotonic_ms()
        reply = await self._inner.call(
            owner.instance_id, message, timeout_ms=timeout_ms
        )
        if not isinstance(reply, JobPage):
            raise OutcomeError("reply is not a page of jobs", code=ResultCode.INTERNAL)
        return reply

    def _find_runner(self, index: int) -> ShardRunner:
        shard_id = format_shard_id(ShardKind.WORKER, index)
        runner = self._runners.get(shard_id)
        is_ready = runner is not None and runner.is_loaded
        if (
            runner is None
            or not is_ready
            or self._ownership.get_serving_epoch(shard_id) is None
        ):
            message = f"{shard_id} is not owned by this instance"
            raise RequestError(message, code=ResultCode.NO_OWNER)
        return runner

    async def _handle_submit(self, call: Call) -> JobPage:
        message = call.message
        assert isinstance(message, JobSubmit)
        runner = self._find_runner(message.shard)
        try:
            spec = JobSpec.from_message(message, submitted_ms=self._clock.wall_ms())
        except ValueError as error:
            raise RequestError(str(error)) from error
        job = await runner.submit(spec)
        if job.spec.team != spec.team:
            text = f"job id {spec.job_id} is already in use"
            raise RequestError(text, code=ResultCode.KEY_REUSED)
        return JobPage(jobs=[_build_view(job)])

    async def _handle_query(self, call: Call) -> JobPage:
        query = call.message
        assert isinstance(query, JobQuery)
        runner = self._find_runner(query.shard)
        if query.job_id:
            job = runner.registry.jobs.get(query.job_id)
            if job is None or job.spec.team != query.team:
                return JobPage()
            explanation = runner.explain(job) if query.is_explained else ""
            return JobPage(jobs=[_build_view(job, explanation=explanation)])
        ids = sorted(
            job_id
            for job_id, job in runner.registry.jobs.items()
            if job.spec.team == query.team
            and (not query.kind or job.spec.kind.value == query.kind)
            and job_id > query.after_job_id
        )
        chosen = ids[: query.limit or 1]
        return JobPage(
            jobs=[_build_view(runner.registry.jobs[job_id]) for job_id in chosen]
        )

    async def _handle_cancel(self, call: Call) -> JobPage:
        message = call.message
        assert isinstance(message, JobCancel)
        runner = self._find_runner(message.shard)
        found = [
            job_id
            for job_id in message.job_ids
            if (job := runner.registry.jobs.get(job_id)) is not None
            and job.spec.team == message.team
        ]
        runner.cancel(found)
        return JobPage(
            jobs=[_build_view(runner.registry.jobs[job_id]) for job_id in found]
        )


def _build_view(job: Job, *, explanation: str = "") -> JobView:
    attempt = job.attempt
    return JobView(
        job_id=job.spec.job_id,
        team=job.spec.team,
        name=job.spec.name,
        kind=job.spec.kind.value,
        state=job.state.value,
        worker_id=job.worker_id,
        attempt_epoch=attempt.epoch if attempt else 0,
        attempt_sequence=attempt.sequence if attempt else 0,
        result_number=job.result_number,
        detail=job.detail,
        result=job.result,
        explanation=explanation,
        submitted_ms=int(job.spec.submitted_ms),
        is_ended=job.state is JobState.ENDED,
    )
