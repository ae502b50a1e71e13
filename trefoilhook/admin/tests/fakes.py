"""Fakes of the admin API's dependencies."""

import attrs
import trio

from trefoilhook.admin import (
    AdminContext,
    AdminHandler,
    CancelRefusal,
    CancelReport,
    ClusterStatus,
    InForceReport,
    InstanceRevision,
    JobListing,
    JobRecord,
    ReadyReport,
    StoreStatus,
)
from trefoilhook.burn import BurnReport
from trefoilhook.clock import ManualTime, build_manual_clock
from trefoilhook.configuration import (
    ConfigurationEditor,
    ConfigurationView,
    digest_token,
)
from trefoilhook.exceptions import RequestError, StoreUnavailableError
from trefoilhook.results import ResultCode
from trefoilhook.settings import AdminSettings
from trefoilhook.store import ConflictError

CLUSTER_TOKEN = "cluster-token"


@attrs.frozen(kw_only=True)
class FakeEntry:
    """An entry of the fake store."""

    key: str
    value: bytes
    revision: int


class FakeStore:
    """Store in memory that applies each change to a view, as a watch would."""

    def __init__(self, view):
        self.view = view
        self.entries = {}
        self.revision = 10
        self.is_down = False

    async def get(self, key):
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise StoreUnavailableError("the store is down")
        return self.entries.get(key)

    async def swap(self, key, value, *, expected_revision):
        await trio.lowlevel.checkpoint()
        entry = self.entries.get(key)
        if expected_revision != (entry.revision if entry else 0):
            raise ConflictError("lost")
        self.revision += 1
        entry = FakeEntry(key=key, value=value, revision=self.revision)
        self.entries[key] = entry
        self.view.apply([entry])
        return self.revision


class FakeBackend:
    """Backend that keeps jobs in memory and records drained instances."""

    def __init__(self):
        self.jobs = {}
        self.drained = []
        self.is_ready = True
        self.revision_in_force = 1_000
        self.error = None

    async def read_status(self):
        if self.error is not None:
            raise self.error
        store = StoreStatus(is_reachable=True, revision=10)
        return ClusterStatus(
            instance_id="i-1",
            instances=(),
            shards=(),
            store=store,
            revision_in_force=10,
        )

    async def drain_instance(self, instance_id):
        self.drained.append(instance_id)

    async def declare_gone(self, instance_id):
        self.drained.append(instance_id)

    async def submit_job(self, submission):
        record = JobRecord(
            job_id=submission.job_id,
            team=submission.team,
            name=submission.body.name,
            kind=submission.kind,
            state="queued",
        )
        return self.jobs.setdefault(submission.job_id, record)

    async def list_jobs(self, query):
        found = sorted(
            (
                job
                for job in self.jobs.values()
                if (job.team, job.kind) == (query.team, query.kind)
                and job.job_id > query.after_job_id
            ),
            key=lambda job: job.job_id,
        )
        page = tuple(found[: query.limit])
        has_more = len(found) > len(page)
        return JobListing(jobs=page, next_after=page[-1].job_id if has_more else "")

    async def read_job(self, *, team, job_id, is_explained):
        job = self.jobs.get(job_id)
        if job is None or job.team != team:
            raise RequestError("no such job", code=ResultCode.NOT_FOUND)
        explanation = "waits for cores" if is_explained else ""
        return attrs.evolve(job, explanation=explanation)

    async def cancel_jobs(self, *, team, job_ids):
        known = tuple(
            job_id
            for job_id in job_ids
            if job_id in self.jobs and self.jobs[job_id].team == team
        )
        for job_id in known:
            self.jobs[job_id] = attrs.evolve(self.jobs[job_id], state="cancelled")
        number = ResultCode.NOT_FOUND.number
        refused = tuple(
            CancelRefusal(job_id=job_id, result_number=number, detail="no such job")
            for job_id in job_ids
            if job_id not in known
        )
        return CancelReport(cancelled=known, refused=refused)

    async def wait_in_force(self, *, revision, timeout_ms):
        return InForceReport(
            revision=revision,
            is_in_force=revision <= self.revision_in_force,
            instances=(
                InstanceRevision(instance_id="i-9", revision=self.revision_in_force),
            ),
        )

    async def read_burn(self, *, team):
        return BurnReport(at_ms=0.0, period=str(team))

    def check_ready(self):
        return ReadyReport(is_ready=self.is_ready, reason="leaving")

    def render_metrics(self):
        return b"trefoilhook_up 1\n"


@attrs.define(kw_only=True)
class FakeInstance:
    """Admin handler with its fake dependencies."""

    view: ConfigurationView
    store: FakeStore
    backend: FakeBackend
    handler: AdminHandler


def build_instance(*, observe=lambda *_: None):
    """Build an admin handler with fakes; the cluster token is `CLUSTER_TOKEN`."""
    view = ConfigurationView(root="root")
    store = FakeStore(view)
    backend = FakeBackend()
    clock = build_manual_clock(ManualTime())
    editor = ConfigurationEditor(
        get=store.get, swap=store.swap, root="root", clock=clock
    )
    settings = AdminSettings(cluster_tokens=(digest_token(CLUSTER_TOKEN),))
    context = AdminContext(
        backend=backend, editor=editor, view=view, settings=settings, clock=clock
    )
    handler = AdminHandler(context=context, observe=observe)
    return FakeInstance(view=view, store=store, backend=backend, handler=handler)
