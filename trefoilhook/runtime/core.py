"""An instance of the scheduler on the users' platform."""

from collections.abc import Awaitable, Callable

import trio

from trefoilhook.clock import Clock
from trefoilhook.http import ConnectionLoss, HttpRequest, HttpResponse, HttpServer
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import (
    OPERATOR_PREFIX,
    READINESS_PATH,
    Address,
    Change,
    KeyValueStore,
    Listing,
    ProcessSettings,
)
from trefoilhook.runtime import keys
from trefoilhook.runtime.configurations import ConfigurationFeed
from trefoilhook.runtime.evacuations import EvacuationFeed
from trefoilhook.runtime.fitness import compute_fitness
from trefoilhook.runtime.following import KeyRead, follow
from trefoilhook.runtime.job_api import JobApi
from trefoilhook.runtime.metrics import ProcessMetrics, render
from trefoilhook.runtime.ownership import Ownership, ShardElection
from trefoilhook.runtime.recovery import RecoveryStep, RecoveryTracker
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.runtime.shard import ShardOwner, ShardSettings
from trefoilhook.scheduling import Configuration, Features

__all__ = ["METRICS_PATH", "Process"]

METRICS_PATH = "/metrics"

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

_STORE_TIMEOUT_MS = 1000.0
"""Timeout of a call to the store, in ms. It usually answers in 4 ms, and in 360 ms if
it is ninety times slower."""

_STORE_UNREACHABLE_AFTER_MS = 1800.0
"""Time without an answer after which the store counts as unreachable, in ms. A watch is
answered every second, and the remainder allows for slow answers."""

_TASK_LEASE_MS = 5000.0
"""Lease of the tasks on a worker, in ms, if the platform allows it. It covers the
owner's lease of 2 s, the takeover in 1 s and one failed poll. A longer lease would
delay the restart of tasks after the loss of a worker."""

_MAX_MISSED_HEARTBEATS = 3
"""Number of missed heartbeats after which the platform removes a worker's entry."""

_MAX_LEASE_FRACTION = 0.9
"""Maximum task lease, as a fraction of the platform's longest lease."""

_DRAIN_DELAY_MS = 2300.0
"""Time for which a stopping process still accepts connections, in ms. The platform
checks readiness once a second and routes new connections until the second failed
check."""

_LAST_REQUEST_MS = 1200.0
"""Time reserved for the requests in progress when a stopping process closes its idle
connections, in ms: that of a submission that the store doesn't answer."""

_STOP_MARGIN_MS = 1200.0
"""Time reserved between the end of a graceful stop and the platform's SIGKILL, in
ms."""


class Process:
    """Serves clients, and owns the shard if no other instance does.

    Parameters
    ----------
    settings : ProcessSettings
        Settings provided by the platform.
    clock : Clock
        Time source.
    metrics_port : int, optional
        Port of the metrics server. By default, metrics are not served.
    features : Features, optional
        Optional decisions in force; all by default.

    Attributes
    ----------
    entry_port, readiness_port, metrics_port : int
        Ports on which the running process listens.
    metrics : ProcessMetrics
        Metrics of the process.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        clock: Clock,
        metrics_port: int | None = None,
        features: Features | None = None,
    ) -> None:
        self._features = features or Features()
        self._metrics_port = metrics_port
        self.metrics_port = 0
        self._settings = settings
        self._clock = clock
        self._store = KeyValueStore(
            address=settings.store_address, timeout_ms=_STORE_TIMEOUT_MS, clock=clock
        )
        self.entry_port = 0
        self.readiness_port = 0
        self._draining = False
        self._answers_seen = 0
        self._answered_ms = clock.monotonic_ms()
        self.metrics = ProcessMetrics()
        self._rejections = Rejections(clock=clock, metrics=self.metrics)
        self._configuration_feed = ConfigurationFeed(
            clock=clock,
            rejections=self._rejections,
            apply_ms=settings.bounds.configuration_ms,
        )
        self._evacuation_feed = EvacuationFeed(
            clock=clock,
            rejections=self._rejections,
            evacuation_ms=settings.bounds.evacuation_ms,
            failure_domains=settings.failure_domains,
        )
        self._election = ShardElection(
            store=self._store,
            clock=clock,
            name=settings.name,
            run_owner=self._run_owner,
            may_claim=lambda: self._has_configuration() and not self._draining,
            rejections=self._rejections,
            metrics=self.metrics,
            fitness=compute_fitness(settings.size),
        )
        self.metrics.gauges.update(
            {
                "is_owner": lambda: float(self._election.is_owner),
                "configuration_version": lambda: float(
                    self._configuration_feed.version
                ),
                "configuration_age_ms": self._configuration_feed.measure_age,
                "evacuations": lambda: float(
                    len(self._evacuation_feed.evacuations.in_force)
                ),
                "store_answers": lambda: float(self._store.answers),
                "store_failures": lambda: float(self._store.failures),
                "store_silent_ms": self._measure_silence,
                "store_away": lambda: float(self._store.is_unavailable),
            }
        )
        self._job_api = JobApi(
            store=self._store,
            clock=clock,
            configurations=self._configuration_feed,
            is_store_reachable=self._may_call_store,
            metrics=self.metrics,
            rejections=self._rejections,
        )

    async def run(self, stop: trio.Event) -> None:
        """Run until ``stop`` is set, then stop gracefully."""
        entry = self._build_server(self._settings.entry_address, self._job_api.answer)
        readiness = self._build_server(
            self._settings.readiness_address, self._answer_readiness
        )
        async with trio.open_nursery() as nursery:
            self.entry_port = await nursery.start(entry.run)
            self.readiness_port = await nursery.start(readiness.run)
            if self._metrics_port is not None:
                address = (self._settings.entry_address[0], self._metrics_port)
                metrics_server = self._build_server(address, self._answer_metrics)
                self.metrics_port = await nursery.start(metrics_server.run)
            nursery.start_soon(self._store.run_probes, keys.owner_key(keys.SHARD))
            nursery.start_soon(self._follow_operator_keys)
            nursery.start_soon(self._configuration_feed.report_age)
            nursery.start_soon(self._election.run)
            log_event(Event.STARTED, instance=self._settings.name)
            await stop.wait()
            await self._stop(entry)
            nursery.cancel_scope.cancel()
        log_event(Event.STOPPED, instance=self._settings.name)

    @property
    def is_owner(self) -> bool:
        """Whether this instance owns the shard."""
        return self._election.is_owner

    def _build_server(self, address: Address, handler: Handler) -> HttpServer:
        host, port = address
        return HttpServer(
            handler=handler, host=host, port=port, count_loss=self._count_loss
        )

    def _count_loss(self, loss: ConnectionLoss) -> None:
        self.metrics.count("connections_lost", loss.value)

    def reload(self, settings: ProcessSettings) -> None:
        """Apply changed settings, except for the listen addresses."""
        if settings.store_address != self._settings.store_address:
            self._store.set_address(settings.store_address)
        self._settings = settings
        self._configuration_feed.configure(apply_ms=settings.bounds.configuration_ms)
        self._evacuation_feed.configure(
            evacuation_ms=settings.bounds.evacuation_ms,
            failure_domains=settings.failure_domains,
        )
        log_event(Event.RELOADED, instance=settings.name)

    async def _stop(self, entry: HttpServer) -> None:
        log_event(Event.STOPPING, instance=self._settings.name)
        self._draining = True
        self._election.resign()
        limit_ms = self._settings.bounds.shutdown_ms - _STOP_MARGIN_MS
        with trio.move_on_after(limit_ms / 1000.0):
            await self._clock.sleep_ms(_DRAIN_DELAY_MS)
            idle_ms = limit_ms - _DRAIN_DELAY_MS - _LAST_REQUEST_MS
            await entry.drain(grace_ms=max(0.0, idle_ms))

    async def _answer_readiness(self, request: HttpRequest) -> HttpResponse:
        if request.path != READINESS_PATH:
            return HttpResponse(status=404)
        ready = (
            not self._draining
            and self._has_configuration()
            and self._is_store_reachable()
        )
        return HttpResponse(status=200 if ready else 503)

    def _is_store_reachable(self) -> bool:
        return self._measure_silence() < _STORE_UNREACHABLE_AFTER_MS

    def _may_call_store(self) -> bool:
        # Not used for readiness: leaving the rotation in each short outage would move
        # clients to other instances, which are affected as well.
        return not self._store.is_unavailable and self._is_store_reachable()

    def _measure_silence(self) -> float:
        """Return the time since the store's last known answer, in ms."""
        now_ms = self._clock.monotonic_ms()
        if self._store.answers != self._answers_seen:
            self._answers_seen = self._store.answers
            self._answered_ms = now_ms
        return now_ms - self._answered_ms

    def _has_configuration(self) -> bool:
        return self._configuration_feed.configuration is not None

    async def _answer_metrics(self, request: HttpRequest) -> HttpResponse:
        if request.path != METRICS_PATH:
            return HttpResponse(status=404)
        headers = (("content-type", "text/plain; version=0.0.4"),)
        return HttpResponse(status=200, headers=headers, body=render(self.metrics))

    async def _follow_operator_keys(self) -> None:
        """Watch the configuration and the evacuations with a single watch."""

        def take_listing(listing: Listing) -> None:
            self._evacuation_feed.take_listing(listing)
            for item in listing.items:
                self._configuration_feed.take_item(item)

        def take_change(change: Change) -> None:
            self._evacuation_feed.take_change(change)
            if change.item is not None:
                self._configuration_feed.take_item(change.item)

        recovery = RecoveryTracker(
            store=self._store, clock=self._clock, metrics=self.metrics
        )

        def note_read(read: KeyRead) -> None:
            self._configuration_feed.note_read(read)
            self._evacuation_feed.note_read(read.confirmed_ms)
            recovery.record(RecoveryStep.UP_TO_DATE)

        await follow(
            self._store,
            OPERATOR_PREFIX,
            clock=self._clock,
            take_listing=take_listing,
            take_change=take_change,
            note_read=note_read,
            note_failure=self._configuration_feed.note_failure,
        )

    async def _run_owner(self, ownership: Ownership) -> None:
        bounds = self._settings.bounds
        longest_ms = bounds.max_task_lease_ms * _MAX_LEASE_FRACTION
        owner = ShardOwner(
            store=self._store,
            clock=self._clock,
            ownership=ownership,
            settings=ShardSettings(
                task_lease_ms=min(_TASK_LEASE_MS, longest_ms),
                longest_stop_ms=bounds.longest_stop_ms,
                max_task_lease_ms=bounds.max_task_lease_ms,
                overload_ms=bounds.overload_ms,
                status_ms=bounds.status_ms,
                drain_notice_ms=bounds.drain_notice_ms,
                entry_life_ms=_MAX_MISSED_HEARTBEATS * bounds.heartbeat_ms,
                cancel_ms=bounds.cancel_ms,
                advice_address=self._settings.advice_address,
                features=self._features,
            ),
            read_configuration=self._read_configuration,
            configuration_freshness=self._configuration_feed.freshness,
            evacuations=self._evacuation_feed.evacuations,
            metrics=self.metrics,
            rejections=self._rejections,
        )
        await owner.run()

    def _read_configuration(self) -> Configuration:
        configuration = self._configuration_feed.configuration
        if configuration is None:
            raise RuntimeError("a shard was claimed before any configuration came")
        return configuration
