"""One process of the system on the users' platform."""

from collections.abc import Awaitable, Callable

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError
from trefoilhook.http import HttpRequest, HttpResponse, HttpServer
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    READINESS_PATH,
    Address,
    Change,
    ConfigurationDocument,
    Item,
    KeyValueStore,
    Listing,
    ProcessSettings,
    decode_configuration,
)
from trefoilhook.runtime.evacuations import EvacuationFeed
from trefoilhook.runtime.fitness import rate_instance
from trefoilhook.runtime.following import follow
from trefoilhook.runtime.job_api import Intake
from trefoilhook.runtime.metrics import Figures, render
from trefoilhook.runtime.ownership import Campaign, Tenure
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.runtime.shard import ShardOwner, ShardSettings
from trefoilhook.scheduling import Configuration

__all__ = ["METRICS_PATH", "Process"]

METRICS_PATH = "/metrics"

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

_STORE_TIMEOUT_MS = 1000.0
"""Longest time for an answer of the store, in ms: 4 ms is usual, and 360 ms is what it
takes when ninety times slower."""

_STORE_SILENCE_MS = 1800.0
"""Without an answer for so long the store counts as away. A watch answers each second,
and the one timeout above fits in."""

_TASK_LEASE_MS = 5000.0
"""Lease of what runs on a worker, in ms, if the platform allows it: the owner's lease
of 2 s, its replacement in 1 s, and one look that fails fit in; longer would delay what
has to be restarted after a worker was lost."""

_HEARTBEATS_MISSED = 3
"""Heartbeats that a worker misses before the platform removes its entry."""

_TASK_LEASE_SHARE = 0.9
"""Share of the platform's longest lease that is asked for at most."""

_LAST_CONNECTIONS_MS = 2300.0
"""How long a process that is to stop still takes connections, in ms: the platform asks
once a second whether it is ready, and sends new ones until the second miss."""

_STOP_MARGIN_MS = 1200.0
"""Time between the end of a graceful stop and the platform's SIGKILL, in ms."""


class Process:
    """Serves clients, and owns the shard whenever nobody else does.

    Parameters
    ----------
    settings : ProcessSettings
        What the platform tells.
    clock : Clock
        Where time comes from.
    metrics_port : int, optional
        Where metrics are served; nowhere without it.

    Attributes
    ----------
    entry_port, readiness_port, metrics_port : int
        Where it listens, once it runs.
    figures : Figures
        What it counts.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        clock: Clock,
        metrics_port: int | None = None,
    ) -> None:
        self._metrics_port = metrics_port
        self.metrics_port = 0
        self._settings = settings
        self._clock = clock
        self._store = KeyValueStore(
            address=settings.store_address, timeout_ms=_STORE_TIMEOUT_MS, clock=clock
        )
        self._configuration: Configuration | None = None
        self.entry_port = 0
        self.readiness_port = 0
        self._draining = False
        self._answers_seen = 0
        self._answered_ms = clock.monotonic_ms()
        self.figures = Figures()
        self._rejections = Rejections(figures=self.figures)
        self._evacuation_feed = EvacuationFeed(
            clock=clock,
            rejections=self._rejections,
            evacuation_ms=settings.bounds.evacuation_ms,
            failure_domains=settings.failure_domains,
        )
        self._campaign = Campaign(
            store=self._store,
            clock=clock,
            name=settings.name,
            lead=self._lead,
            may_claim=lambda: self._configuration is not None and not self._draining,
            rejections=self._rejections,
            fitness=rate_instance(settings.size),
        )
        self.figures.gauges.update(
            {
                "is_owner": lambda: float(self._campaign.is_owner),
                "configuration_version": self._read_version,
                "evacuations": lambda: float(
                    len(self._evacuation_feed.evacuations.in_force)
                ),
                "store_answers": lambda: float(self._store.answers),
                "store_failures": lambda: float(self._store.failures),
                "store_silent_ms": self._measure_silence,
            }
        )
        self._intake = Intake(
            store=self._store,
            clock=clock,
            read_configuration=lambda: self._configuration,
            is_store_reachable=self._is_store_reachable,
            figures=self.figures,
            rejections=self._rejections,
        )

    async def run(self, stop: trio.Event) -> None:
        """Run until ``stop`` is set, then stop gracefully."""
        entry = self._build_server(self._settings.entry_address, self._intake.answer)
        readiness = self._build_server(
            self._settings.readiness_address, self._answer_readiness
        )
        async with trio.open_nursery() as nursery:
            self.entry_port = await nursery.start(entry.run)
            self.readiness_port = await nursery.start(readiness.run)
            if self._metrics_port is not None:
                address = (self._settings.entry_address[0], self._metrics_port)
                metrics = self._build_server(address, self._answer_metrics)
                self.metrics_port = await nursery.start(metrics.run)
            nursery.start_soon(self._follow_operator_keys)
            nursery.start_soon(self._campaign.run)
            log_event(Event.STARTED, instance=self._settings.name)
            await stop.wait()
            await self._stop(entry)
            nursery.cancel_scope.cancel()
        log_event(Event.STOPPED, instance=self._settings.name)

    @property
    def is_owner(self) -> bool:
        """Whether this instance owns the shard."""
        return self._campaign.is_owner

    def _build_server(self, address: Address, handler: Handler) -> HttpServer:
        host, port = address
        return HttpServer(handler=handler, host=host, port=port)

    def reload(self, settings: ProcessSettings) -> None:
        """Put changed settings in force, but for the addresses it listens at."""
        if settings.store_address != self._settings.store_address:
            self._store.move(settings.store_address)
        self._settings = settings
        self._evacuation_feed.configure(
            evacuation_ms=settings.bounds.evacuation_ms,
            failure_domains=settings.failure_domains,
        )
        log_event(Event.RELOADED, instance=settings.name)

    async def _stop(self, entry: HttpServer) -> None:
        log_event(Event.STOPPING, instance=self._settings.name)
        self._draining = True
        self._campaign.resign()
        limit_ms = self._settings.bounds.shutdown_ms - _STOP_MARGIN_MS
        with trio.move_on_after(limit_ms / 1000.0):
            await self._clock.sleep_ms(_LAST_CONNECTIONS_MS)
            await entry.drain(grace_ms=limit_ms - _LAST_CONNECTIONS_MS)

    async def _answer_readiness(self, request: HttpRequest) -> HttpResponse:
        if request.path != READINESS_PATH:
            return HttpResponse(status=404)
        ready = (
            not self._draining
            and self._configuration is not None
            and self._is_store_reachable()
        )
        return HttpResponse(status=200 if ready else 503)

    def _is_store_reachable(self) -> bool:
        return self._measure_silence() < _STORE_SILENCE_MS

    def _measure_silence(self) -> float:
        """Return the time since the store is known to have answered, in ms."""
        now_ms = self._clock.monotonic_ms()
        if self._store.answers != self._answers_seen:
            self._answers_seen = self._store.answers
            self._answered_ms = now_ms
        return now_ms - self._answered_ms

    def _read_version(self) -> float:
        return float(self._configuration.version) if self._configuration else 0.0

    async def _answer_metrics(self, request: HttpRequest) -> HttpResponse:
        if request.path != METRICS_PATH:
            return HttpResponse(status=404)
        headers = (("content-type", "text/plain; version=0.0.4"),)
        return HttpResponse(status=200, headers=headers, body=render(self.figures))

    async def _follow_operator_keys(self) -> None:
        """Follow the configuration and the evacuations with a single watch."""

        def take_listing(listing: Listing) -> None:
            self._evacuation_feed.take_listing(listing)
            for item in listing.items:
                self._take_configuration(item)

        def take_change(change: Change) -> None:
            self._evacuation_feed.take_change(change)
            if change.item is not None:
                self._take_configuration(change.item)

        await follow(
            self._store,
            self._clock,
            OPERATOR_PREFIX,
            take_listing=take_listing,
            take_change=take_change,
            note_read=self._evacuation_feed.note_read,
        )

    def _take_configuration(self, item: Item) -> None:
        if item.key != CONFIGURATION_KEY:
            return
        try:
            document = decode_configuration(item.value)
        except DecodeError as error:
            self._reject_configuration(item, str(error))
            return
        fresh = document.configuration
        if self._configuration and fresh.version < self._configuration.version:
            log_event(Event.CONFIG_STALE, version=fresh.version)
            return
        self._report_problems(item, document)
        if self._configuration is not None:
            # A job of a route that was removed runs on, on its service's workers.
            services = fresh.services | self._configuration.services
            fresh = attrs.evolve(fresh, services=services)
        self._configuration = fresh
        log_event(Event.CONFIG_IN_FORCE, version=fresh.version, revision=item.revision)

    def _report_problems(self, item: Item, document: ConfigurationDocument) -> None:
        self._rejections.accept(Event.CONFIG_INVALID, item.key)
        if document.problems:
            reason = f"left out: {'; '.join(document.problems)}"
            self._reject_configuration(item, reason)

    def _reject_configuration(self, item: Item, reason: str) -> None:
        self._rejections.report(
            Event.CONFIG_INVALID, item.key, reason, revision=item.revision
        )

    async def _lead(self, tenure: Tenure) -> None:
        bounds = self._settings.bounds
        longest_ms = bounds.max_task_lease_ms * _TASK_LEASE_SHARE
        owner = ShardOwner(
            store=self._store,
            clock=self._clock,
            tenure=tenure,
            settings=ShardSettings(
                task_lease_ms=min(_TASK_LEASE_MS, longest_ms),
                longest_stop_ms=bounds.longest_stop_ms,
                overload_ms=bounds.overload_ms,
                status_ms=bounds.status_ms,
                drain_notice_ms=bounds.drain_notice_ms,
                entry_life_ms=_HEARTBEATS_MISSED * bounds.heartbeat_ms,
                advice_address=self._settings.advice_address,
            ),
            read_configuration=self._read_configuration,
            evacuations=self._evacuation_feed.evacuations,
            figures=self.figures,
            rejections=self._rejections,
        )
        await owner.run()

    def _read_configuration(self) -> Configuration:
        if self._configuration is None:
            raise RuntimeError("a shard was claimed before any configuration came")
        return self._configuration
