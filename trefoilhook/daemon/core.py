"""One instance: wiring, start-up order and graceful shutdown of its components."""

import uuid
from collections.abc import Awaitable, Callable

import attrs
import trio

from trefoilhook.admin import AdminContext, AdminHandler
from trefoilhook.burn import BurnLedger
from trefoilhook.clock import Clock
from trefoilhook.configuration import ConfigurationEditor, ConfigurationView
from trefoilhook.daemon.backend import InstanceBackend
from trefoilhook.daemon.builders import (
    build_backends,
    build_inner,
    build_membership,
    build_server,
    build_store,
    build_worker,
)
from trefoilhook.daemon.gauges import (
    register_configuration_metrics,
    register_job_metrics,
    register_membership_metrics,
    register_request_metrics,
)
from trefoilhook.daemon.settings import DaemonSettings
from trefoilhook.daemon.teams import build_team_view, find_objective, find_quota
from trefoilhook.entry import build_entry_handler
from trefoilhook.inner.messages_pb2 import (
    ExecutorLoads,
    ServiceRequest,
    ShardHandover,
)
from trefoilhook.jobs import JobJournal, JobService
from trefoilhook.journal import open_journal
from trefoilhook.logs import Event, log_event
from trefoilhook.metrics import Instrument, Metrics
from trefoilhook.placement import LATENCY_FIRST, THROUGHPUT_FIRST, Policy
from trefoilhook.requests import CallerAnswer, CallerRequest, RequestService
from trefoilhook.shards import Ownership, ServingGrounds
from trefoilhook.store import swap_with_read_back

__all__ = ["Addresses", "Instance"]

_ROOT = "root"
_SWAP_TIMEOUT_MS = 2_000.0
_BURN_GATHER_INTERVAL_MS = 60_000.0
_OWNER_TERMINATED_GROUNDS = frozenset(
    {ServingGrounds.PROVED_DEAD, ServingGrounds.NO_PREVIOUS_OWNER}
)


@attrs.frozen(kw_only=True)
class Addresses:
    """Ports of a running instance.

    Parameters
    ----------
    instance_id : str
        Identifier of the instance.
    entry_port, admin_port, inner_port : int
        Ports for callers, operators and peers.
    """

    instance_id: str
    entry_port: int
    admin_port: int
    inner_port: int


class Instance:
    """One instance of the system.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    clock : Clock
        Source of wall and monotonic time.
    """

    def __init__(self, *, settings: DaemonSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self.instance_id = settings.instance.instance_id or f"i-{uuid.uuid4().hex[:12]}"
        self._leaving = trio.Event()
        self.view = ConfigurationView(root=_ROOT)
        self._policy = LATENCY_FIRST
        self.ledger = BurnLedger(instance_id=self.instance_id, clock=clock)
        self.metrics = Metrics(
            instance_id=self.instance_id,
            failure_domain=settings.instance.failure_domain,
            region=settings.instance.region,
        )
        self._store = build_store(settings, clock)
        self._backends = build_backends(settings, clock)
        self._inner = build_inner(settings, clock, self.instance_id)

    def begin_shutdown(self) -> None:
        """Start the graceful shutdown; ``run`` returns once it is complete."""
        self._leaving.set()

    @property
    def is_leaving(self) -> bool:
        """Whether the graceful shutdown has begun."""
        return self._leaving.is_set()

    async def run(
        self, *, task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until the graceful shutdown is complete.

        Reports the ports to the nursery once every listener accepts connections.
        """
        async with trio.open_nursery() as nursery:
            inner_port: int = await nursery.start(self._inner.run)
            self._build_components()
            await nursery.start(self.membership.run)
            self._apply_configuration()
            nursery.start_soon(self._follow_configuration)
            await nursery.start(self._backends.run)
            nursery.start_soon(self._follow_ownership)
            nursery.start_soon(self.ownership.run)
            nursery.start_soon(self.jobs.run)
            await nursery.start(self.requests.run)
            nursery.start_soon(self._gather_burn_periodically)
            admin_port = await nursery.start(self._admin_server.run)
            entry_port = await nursery.start(self._entry_server.run)
            addresses = Addresses(
                instance_id=self.instance_id,
                entry_port=entry_port,
                admin_port=admin_port,
                inner_port=inner_port,
            )
            log_event(Event.STARTED, **attrs.asdict(addresses))
            task_status.started(addresses)
            await self._leaving.wait()
            await self._leave()
            nursery.cancel_scope.cancel()
        self.metrics.close()
        log_event(Event.STOPPED, instance=self.instance_id)

    def _build_components(self) -> None:
        self._build_membership()
        self._build_requests()
        self._build_jobs()
        self._build_admin()
        self._register_metrics()

    def _register_metrics(self) -> None:
        register_membership_metrics(
            self.metrics,
            membership=self.membership,
            ownership=self.ownership,
            inner=self._inner,
            store=self._store,
        )
        register_request_metrics(self.metrics, self.requests)
        register_job_metrics(self.metrics, self.jobs)
        register_configuration_metrics(self.metrics, self.view)

    def _build_membership(self) -> None:
        settings = self._settings
        self.membership = build_membership(
            settings, self._clock, store=self._store, inner=self._inner
        )
        self.ownership = Ownership(
            membership=self.membership,
            store=self._store,
            inner=self._inner,
            clock=self._clock,
            settings=settings.shards,
            outage_limit_ms=settings.membership.outage_limit_ms,
        )

    def _build_requests(self) -> None:
        settings = self._settings
        teams = build_team_view(self.view)
        self.requests = RequestService(
            instance_id=self.instance_id,
            failure_domain=settings.instance.failure_domain,
            clock=self._clock,
            settings=settings.requests,
            ownership=self.ownership,
            inner=self._inner,
            teams=teams,
            list_executors=self._backends.list_executors,
            list_peers=self._list_peers,
        )
        self._inner.register_handler(ServiceRequest, self.requests.handle_inner)
        self._inner.register_handler(ExecutorLoads, self.requests.handle_loads)
        self.ownership.add_release_hook(self._export_handover)
        self.ownership.add_handover_handler(self.requests.import_handover)
        self._ownership_changes = self.ownership.subscribe()
        self._entry_server = build_server(
            settings.listeners.entry,
            build_entry_handler(
                instance_id=self.instance_id,
                teams=teams,
                handle_request=self._handle_caller,
            ),
            self.metrics,
        )

    def _build_jobs(self) -> None:
        self.jobs = JobService(
            instance_id=self.instance_id,
            ownership=self.ownership,
            inner=self._inner,
            open_journal=self._open_journal,
            list_workers=self._backends.list_workers,
            open_worker=lambda address: build_worker(address, self._clock),
            policy=lambda: self._policy,
            find_quota=lambda team: find_quota(self.view, team),
            clock=self._clock,
            settings=self._settings.jobs,
            shards=self._settings.shards,
        )

    def _build_admin(self) -> None:
        settings = self._settings
        self.backend = InstanceBackend(
            identity=settings.instance,
            membership=self.membership,
            ownership=self.ownership,
            inner=self._inner,
            jobs=self.jobs,
            view=self.view,
            ledger=self.ledger,
            metrics=self.metrics,
            clock=self._clock,
            begin_shutdown=self.begin_shutdown,
            is_instance_list_loaded=lambda: self._backends.is_loaded,
        )
        editor = ConfigurationEditor(
            get=self._store.get,
            swap=self._swap,
            root=_ROOT,
            clock=self._clock,
            history_limit=settings.admin.history_limit,
        )
        context = AdminContext(
            backend=self.backend,
            editor=editor,
            view=self.view,
            settings=settings.admin,
            clock=self._clock,
        )
        handler = AdminHandler(context=context, observe=self.metrics.observe_http)
        self._admin_server = build_server(
            settings.listeners.admin, handler.handle, self.metrics
        )

    async def _swap(self, key: str, value: bytes, *, expected_revision: int) -> int:
        return await swap_with_read_back(
            self._store,
            key,
            value,
            expected_revision=expected_revision,
            clock=self._clock,
            timeout_ms=_SWAP_TIMEOUT_MS,
        )

    def _list_peers(self) -> list[str]:
        own = self.instance_id
        members = self.membership.members
        return [m.instance_id for m in members if m.instance_id != own]

    def _open_journal(self, shard_id: str, epoch: int) -> JobJournal:
        return open_journal(
            store=self._store,
            shard_id=shard_id,
            epoch=epoch,
            clock=self._clock,
            settings=self._settings.journal,
        )

    def _choose_policy(self) -> Policy:
        """Return the placement policy that the majority of teams configured.

        All teams share the workers, so a single policy applies to all of them.
        """
        presets = [
            configuration.placement.preset
            for team in self.view.list_teams()
            if (configuration := self.view.get_team(team)) is not None
        ]
        wants_throughput = presets.count("throughput-first") * 2 > len(presets)
        return THROUGHPUT_FIRST if wants_throughput else LATENCY_FIRST

    async def _handle_caller(self, request: CallerRequest) -> CallerAnswer:
        """Handle a request and record its result code and latency."""
        started_ms = self._clock.monotonic_ms()
        answer = await self.requests.handle_caller(request)
        self.metrics.add(Instrument.REQUESTS, 1, str(answer.code.number))
        objective = find_objective(self.view, request.team, request.service)
        if objective is not None:
            self.ledger.record(
                team=request.team,
                service=request.service,
                code=answer.code,
                latency_ms=self._clock.monotonic_ms() - started_ms,
                objective=objective,
            )
        return answer

    async def _export_handover(self, shard_id: str, epoch: int) -> ShardHandover:
        return self.requests.export_handover(shard_id, epoch)

    async def _follow_ownership(self) -> None:
        """Forward ownership changes to the request service.

        The request service is told when the previous owner of a shard is known to
        be gone, or when there was none.
        """
        async for change in self._ownership_changes:
            self.requests.sync_ownership()
            if change.is_owned and change.grounds in _OWNER_TERMINATED_GROUNDS:
                self.requests.handle_owner_terminated(change.shard_id)

    def _apply_configuration(self) -> None:
        mirror = self.membership.follower.mirror
        self.view.apply(mirror.entries)
        present = {entry.key for entry in mirror.entries}
        for team in self.view.list_teams():
            key = f"{_ROOT}/config/teams/{team}"
            if key not in present:
                self.view.apply_deletion(key, revision=mirror.revision)
        self._policy = self._choose_policy()

    async def _follow_configuration(self) -> None:
        async for _ in self.membership.follower.subscribe():
            self._apply_configuration()

    async def _gather_burn_periodically(self) -> None:
        """Collect the burn counts of the peers, so that they survive a peer's loss."""
        while True:
            await self._clock.sleep_ms(_BURN_GATHER_INTERVAL_MS)
            await self.backend.gather_burn()

    async def _leave(self) -> None:
        """Hand over the shards, finish requests in progress and leave the cluster.

        The entry listener serves until the shards have moved to other instances and
        the load balancer has seen that the instance is not ready. The inner listener
        closes last, because peers take a refused connection as proof that this process
        no longer acts as an owner.
        """
        log_event(Event.STOPPING, instance=self.instance_id)
        self.backend.is_leaving = True
        shutdown = self._settings.shutdown
        with trio.move_on_after(shutdown.handover_ms / 1000.0):
            await self._run_store_step(self.membership.announce_leaving)
            await self.ownership.wait_released()
        await self._entry_server.drain(grace_ms=shutdown.grace_ms)
        await self.requests.drain(grace_ms=shutdown.handover_ms)
        await self._admin_server.drain(grace_ms=0)
        await self._inner.drain()
        await self._run_store_step(self.membership.leave)

    async def _run_store_step(self, step: Callable[[], Awaitable[None]]) -> None:
        """Run a step of the shutdown that needs the store, and log its failure."""
        try:
            await step()
        except Exception as error:  # shutdown continues; the lease expires by itself
            log_event(Event.STORE_DOWN, reason=str(error))
