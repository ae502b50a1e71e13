"""Implementation of the admin API's backend on the components of an instance."""

from collections.abc import Callable

import attrs
import trio

from trefoilhook.admin import (
    CancelRefusal,
    CancelReport,
    ClusterStatus,
    InForceReport,
    InstanceRevision,
    InstanceStatus,
    JobListing,
    JobQuery,
    JobRecord,
    JobSubmission,
    ReadyReport,
    ShardStatus,
    StoreStatus,
)
from trefoilhook.burn import BurnLedger, BurnReport, build_report
from trefoilhook.clock import Clock
from trefoilhook.configuration import ConfigurationView
from trefoilhook.daemon.teams import find_objective
from trefoilhook.exceptions import RequestError, TrefoilhookError
from trefoilhook.inner import Call, InnerNode
from trefoilhook.inner.messages_pb2 import (
    DrainRequest,
    Empty,
    JobSubmit,
    JobView,
    Resources,
    StatusAnswer,
    StatusRequest,
)
from trefoilhook.jobs import JobService
from trefoilhook.membership import Member, Membership
from trefoilhook.metrics import Metrics
from trefoilhook.results import ResultCode
from trefoilhook.settings import InstanceSettings
from trefoilhook.shards import Ownership

__all__ = ["InstanceBackend"]

_STATUS_TIMEOUT_MS = 1_000.0
_IN_FORCE_POLL_INTERVAL_MS = 50.0


@attrs.define(kw_only=True)
class InstanceBackend:
    """Serves the admin API from the components of an instance.

    Parameters
    ----------
    identity : InstanceSettings
        Failure domain and region of the instance.
    membership : Membership
        Members and mirror of the store.
    ownership : Ownership
        Shards and their owners.
    inner : InnerNode
        Links to the peers.
    jobs : JobService
        Service that records, reads and cancels jobs.
    view : ConfigurationView
        Configuration in force.
    ledger : BurnLedger
        Counts for the report on service-level burn.
    metrics : Metrics
        Instruments to render.
    clock : Clock
        Source of wall and monotonic time.
    begin_shutdown : callable
        Starts the graceful shutdown.
    is_instance_list_loaded : callable
        Returns whether the instance list has been read.
    """

    identity: InstanceSettings
    membership: Membership
    ownership: Ownership
    inner: InnerNode
    jobs: JobService
    view: ConfigurationView
    ledger: BurnLedger
    metrics: Metrics
    clock: Clock
    begin_shutdown: Callable[[], None]
    is_instance_list_loaded: Callable[[], bool]
    is_leaving: bool = False

    def __attrs_post_init__(self) -> None:
        self.inner.register_handler(StatusRequest, self._handle_status)
        self.inner.register_handler(DrainRequest, self._handle_drain)

    async def read_status(self) -> ClusterStatus:
        """Return instances, shards, revision in force and health of the store."""
        instances = await self._query_members(StatusRequest())
        revisions = [i.applied_revision for i in instances if i.state != "unreachable"]
        shards = tuple(
            ShardStatus(
                shard_id=shard_id, owner_instance_id=row.owner_id, epoch=row.epoch
            )
            for shard_id, row in sorted(self.ownership.table.rows.items())
        )
        return ClusterStatus(
            instance_id=self.membership.instance_id,
            instances=instances,
            shards=shards,
            store=StoreStatus(
                is_reachable=self.membership.is_store_reachable,
                revision=self.membership.follower.mirror.revision,
                unreachable_for_ms=self.membership.unreachable_for_ms,
            ),
            revision_in_force=min(revisions, default=0),
        )

    async def drain_instance(self, instance_id: str) -> None:
        """Ask an instance to hand over its shards and shut down."""
        if instance_id not in self.membership.members:
            message = f"unknown instance {instance_id}"
            raise RequestError(message, code=ResultCode.NOT_FOUND)
        await self.inner.call(
            instance_id, DrainRequest(), timeout_ms=_STATUS_TIMEOUT_MS
        )

    async def declare_gone(self, instance_id: str) -> None:
        """Record that an instance has stopped permanently."""
        if instance_id == self.membership.instance_id:
            raise RequestError("an instance cannot declare itself gone")
        await self.membership.declare_gone(instance_id)

    async def submit_job(self, submission: JobSubmission) -> JobRecord:
        """Record a job durably; a repeated id returns the job recorded first."""
        body = submission.body
        message = JobSubmit(
            job_id=submission.job_id,
            team=submission.team,
            name=body.name,
            kind=submission.kind,
            is_urgent=body.is_urgent,
            is_idempotent=body.is_idempotent,
            resources=Resources(
                cores=body.resources.cores,
                memory_bytes=body.resources.memory_bytes,
                accelerators=body.resources.accelerators,
            ),
            declared_run_ms=body.declared_run_ms,
            payload=body.payload,
            task_class=body.task_class,
        )
        return _build_job_record(await self.jobs.submit(message))

    async def list_jobs(self, query: JobQuery) -> JobListing:
        """Return a page of a team's jobs."""
        page = await self.jobs.list_page(
            team=query.team,
            kind=query.kind,
            after_job_id=query.after_job_id,
            limit=query.limit,
        )
        return JobListing(
            jobs=tuple(_build_job_record(view) for view in page.jobs),
            next_after=page.next_after_job_id,
        )

    async def read_job(
        self, *, team: str, job_id: str, is_explained: bool
    ) -> JobRecord:
        """Return one job."""
        return _build_job_record(
            await self.jobs.read(team=team, job_id=job_id, is_explained=is_explained)
        )

    async def cancel_jobs(self, *, team: str, job_ids: tuple[str, ...]) -> CancelReport:
        """Cancel jobs and report the result for each."""
        found = await self.jobs.cancel(team=team, job_ids=job_ids)
        refused = tuple(
            CancelRefusal(
                job_id=job_id,
                result_number=ResultCode.NOT_FOUND.number,
                detail="no such job",
            )
            for job_id in job_ids
            if job_id not in found
        )
        return CancelReport(cancelled=tuple(found), refused=refused)

    async def wait_in_force(self, *, revision: int, timeout_ms: float) -> InForceReport:
        """Wait until a revision is in force on every live instance or time is up."""
        deadline_ms = self.clock.monotonic_ms() + timeout_ms
        while True:
            rows = tuple(
                InstanceRevision(
                    instance_id=status.instance_id, revision=status.applied_revision
                )
                for status in await self._query_members(StatusRequest())
            )
            is_in_force = all(row.revision >= revision for row in rows)
            if is_in_force or self.clock.monotonic_ms() >= deadline_ms:
                return InForceReport(
                    revision=revision, is_in_force=is_in_force, instances=rows
                )
            await self.clock.sleep_ms(_IN_FORCE_POLL_INTERVAL_MS)

    async def read_burn(self, *, team: str | None) -> BurnReport:
        """Return the report on service-level burn, merged over the instances."""
        await self.gather_burn()
        return build_report(
            ledger=self.ledger,
            find_objective=lambda t, s: find_objective(self.view, t, s),
            now_ms=self.clock.wall_ms(),
            team=team,
        )

    def check_ready(self) -> ReadyReport:
        """Return whether a load balancer should send requests to this instance."""
        if self.is_leaving:
            return ReadyReport(is_ready=False, reason="leaving")
        if not self.membership.follower.is_loaded:
            return ReadyReport(is_ready=False, reason="no configuration yet")
        if not self.is_instance_list_loaded():
            return ReadyReport(is_ready=False, reason="no instance list yet")
        return ReadyReport(is_ready=True)

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self.metrics.render()

    async def gather_burn(self) -> None:
        """Merge the burn counts of all instances, so that a lost one's are kept."""
        await self._query_members(StatusRequest(is_burn_wanted=True))

    async def _query_members(
        self, request: StatusRequest
    ) -> tuple[InstanceStatus, ...]:
        found: dict[str, InstanceStatus] = {}
        async with trio.open_nursery() as nursery:
            for member in self.membership.members:
                nursery.start_soon(self._query_member, member, request, found)
        return tuple(found[instance_id] for instance_id in sorted(found))

    async def _query_member(
        self,
        member: Member,
        request: StatusRequest,
        found: dict[str, InstanceStatus],
    ) -> None:
        answer = StatusAnswer()
        state = "unreachable"
        try:
            reply = await self.inner.call(
                member.instance_id, request, timeout_ms=_STATUS_TIMEOUT_MS
            )
        except TrefoilhookError:
            reply = None
        if isinstance(reply, StatusAnswer):
            answer = reply
            state = "leaving" if answer.is_leaving else "live"
            if answer.burn:
                self.ledger.merge(answer.burn)
        found[member.instance_id] = InstanceStatus(
            instance_id=member.instance_id,
            failure_domain=member.failure_domain,
            region=answer.region,
            address=f"{member.host}:{member.port}",
            state=state,
            applied_revision=answer.applied_revision,
            is_store_reachable=answer.is_store_reachable,
            shard_count=len(answer.shard_ids),
        )

    async def _handle_status(self, call: Call) -> StatusAnswer:
        is_burn_wanted = getattr(call.message, "is_burn_wanted", False)
        return StatusAnswer(
            instance_id=self.membership.instance_id,
            failure_domain=self.identity.failure_domain,
            region=self.identity.region,
            applied_revision=self.membership.follower.mirror.revision,
            is_store_reachable=self.membership.is_store_reachable,
            is_leaving=self.is_leaving,
            shard_ids=self.ownership.list_served(),
            burn=self.ledger.encode_part() if is_burn_wanted else "",
        )

    async def _handle_drain(self, call: Call) -> Empty:
        self.begin_shutdown()
        return Empty()


def _build_job_record(view: JobView) -> JobRecord:
    return JobRecord(
        job_id=view.job_id,
        team=view.team,
        name=view.name,
        kind=view.kind,
        state=view.state,
        worker_id=view.worker_id,
        attempt_epoch=view.attempt_epoch,
        attempt_sequence=view.attempt_sequence,
        result_number=view.result_number,
        detail=view.detail,
        result=view.result,
        explanation=view.explanation,
        submitted_ms=view.submitted_ms,
        is_ended=view.is_ended,
    )
