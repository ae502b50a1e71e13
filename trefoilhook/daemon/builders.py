"""Factories for the components of an instance, configured from its settings."""

from collections.abc import Awaitable, Callable

from trefoilhook.clock import Clock
from trefoilhook.daemon.backends import BackendList
from trefoilhook.daemon.settings import DaemonSettings
from trefoilhook.daemon.tls import build_client_context, build_server_context
from trefoilhook.http import ConnectionLoss, HttpRequest, HttpResponse, HttpServer
from trefoilhook.inner import InnerNode, PeerAddress
from trefoilhook.instances import InstanceListClient
from trefoilhook.jobs import WorkerAddress
from trefoilhook.membership import Member, Membership
from trefoilhook.metrics import Instrument, Metrics
from trefoilhook.settings import ListenerSettings
from trefoilhook.store import StoreClient
from trefoilhook.workers import WorkerClient

__all__ = [
    "build_backends",
    "build_inner",
    "build_membership",
    "build_server",
    "build_store",
    "build_worker",
]

_WORKER_TIMEOUT_MS = 1_000.0


def build_store(settings: DaemonSettings, clock: Clock) -> StoreClient:
    """Build the client of the platform's store."""
    return StoreClient(
        host=settings.store.host,
        port=settings.store.port,
        clock=clock,
        timeout_ms=settings.store.timeout_ms,
        token=settings.store.token,
    )


def build_backends(settings: DaemonSettings, clock: Clock) -> BackendList:
    """Build the poller of the platform's instance list."""
    client = InstanceListClient(
        host=settings.instances.host,
        port=settings.instances.port,
        clock=clock,
        timeout_ms=settings.instances.timeout_ms,
    )
    return BackendList(
        client=client, clock=clock, interval_ms=settings.instances.interval_ms
    )


def build_inner(settings: DaemonSettings, clock: Clock, instance_id: str) -> InnerNode:
    """Build the node that holds the links to the peers."""
    listener = settings.listeners.inner
    return InnerNode(
        instance_id=instance_id,
        host=listener.host,
        port=listener.port,
        clock=clock,
        settings=settings.inner,
        tls_server=build_server_context(listener.tls),
        tls_client=build_client_context(listener.tls),
    )


def build_membership(
    settings: DaemonSettings, clock: Clock, *, store: StoreClient, inner: InnerNode
) -> Membership:
    """Build the membership of an instance.

    The inner listener must be bound already, because its port is published.
    """
    member = Member(
        instance_id=inner.instance_id,
        incarnation="",
        host=settings.listeners.inner.host,
        port=inner.port,
        failure_domain=settings.instance.failure_domain,
    )
    seeds = tuple(
        PeerAddress(
            instance_id=f"seed-{peer.host}:{peer.port}",
            host=peer.host,
            port=peer.port,
            is_seed=True,
        )
        for peer in settings.peers
    )
    return Membership(
        member=member,
        store=store,
        inner=inner,
        clock=clock,
        settings=settings.membership,
        seeds=seeds,
    )


def build_server(
    listener: ListenerSettings,
    handler: Callable[[HttpRequest], Awaitable[HttpResponse]],
    metrics: Metrics,
) -> HttpServer:
    """Build the HTTP server of a listener."""

    def count_loss(loss: ConnectionLoss) -> None:
        metrics.add(Instrument.HTTP_LOSSES, 1, loss.value)

    return HttpServer(
        handler=handler,
        host=listener.host,
        port=listener.port,
        tls=build_server_context(listener.tls),
        count_loss=count_loss,
    )


def build_worker(address: WorkerAddress, clock: Clock) -> WorkerClient:
    """Build the client of a worker."""
    return WorkerClient(
        worker_id=address.worker_id,
        host=address.host,
        port=address.port,
        clock=clock,
        timeout_ms=_WORKER_TIMEOUT_MS,
    )
