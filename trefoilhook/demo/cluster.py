"""Stand-ins and instances that run on loopback in one process."""

import secrets

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.configuration import digest_token
from trefoilhook.daemon import Addresses, DaemonSettings, Instance
from trefoilhook.demo.clients import AdminClient, EntryClient
from trefoilhook.instances import ExecutorRecord, WorkerRecord
from trefoilhook.settings import AdminSettings, InstanceSettings
from trefoilhook.standins import (
    ExecutorSettings,
    ExecutorStandin,
    InstanceLists,
    InstanceListStandin,
    StoreStandin,
    WorkerSettings,
    WorkerStandin,
)
from trefoilhook.workers import Resources

__all__ = ["CLUSTER_TOKEN", "LocalCluster", "LocalPlan", "LocalPlatform"]

CLUSTER_TOKEN = "cluster-token"
_HOST = "127.0.0.1"
_FAILURE_DOMAINS = ("fd-1", "fd-2", "fd-3")
_RACK_SIZE = 8
_SETTLE_POLL_INTERVAL_MS = 20.0


@attrs.frozen(kw_only=True)
class LocalPlan:
    """Size of a local system.

    Parameters
    ----------
    instances : int
        Number of instances.
    services : dict of str to int
        Number of executors of each service, by ``team/service``.
    workers : int
        Number of workers.
    service_time_ms : float
        Run time of a request on an executor, in ms.
    """

    instances: int = 3
    services: dict[str, int] = attrs.field(factory=dict)
    workers: int = 4
    service_time_ms: float = 5.0


@attrs.define(kw_only=True)
class LocalPlatform:
    """Stand-ins for the platform: store, instance list, executors and workers.

    Parameters
    ----------
    clock : Clock
        Clock shared by all components.
    nursery : trio.Nursery
        Nursery that runs the stand-ins.
    plan : LocalPlan
        Size of the system.
    settings : DaemonSettings
        Settings common to all instances; identity and addresses are added to them.
    """

    clock: Clock
    nursery: trio.Nursery
    plan: LocalPlan
    settings: DaemonSettings = attrs.field(factory=DaemonSettings)
    store: StoreStandin = attrs.field(init=False)
    instance_list: InstanceListStandin = attrs.field(init=False)
    executors: dict[str, ExecutorStandin] = attrs.field(factory=dict)
    workers: dict[str, WorkerStandin] = attrs.field(factory=dict)
    store_token: str = ""
    store_port: int = 0
    list_port: int = 0

    async def start(self) -> None:
        """Start the stand-ins."""
        # The token keeps out instances of another run that used the same port.
        self.store_token = secrets.token_hex(16)
        self.store = StoreStandin(clock=self.clock, token=self.store_token)
        self.store_port = await self.nursery.start(self.store.run)
        lists = InstanceLists(
            executors=await self._start_executors(), workers=await self._start_workers()
        )
        self.instance_list = InstanceListStandin(clock=self.clock, lists=lists)
        self.list_port = await self.nursery.start(self.instance_list.run)

    def build_settings(self, instance_id: str, number: int) -> DaemonSettings:
        """Build the settings of one instance.

        Parameters
        ----------
        instance_id : str
            Identifier of the instance.
        number : int
            Number of the instance, which selects its failure domain.
        """
        return attrs.evolve(
            self.settings,
            instance=InstanceSettings(
                instance_id=instance_id,
                failure_domain=_FAILURE_DOMAINS[number % len(_FAILURE_DOMAINS)],
            ),
            store=attrs.evolve(
                self.settings.store,
                host=_HOST,
                port=self.store_port,
                token=self.store_token,
            ),
            instances=attrs.evolve(
                self.settings.instances, host=_HOST, port=self.list_port
            ),
            admin=AdminSettings(cluster_tokens=(digest_token(CLUSTER_TOKEN),)),
        )

    async def _start_executors(self) -> tuple[ExecutorRecord, ...]:
        records: list[ExecutorRecord] = []
        for name, count in self.plan.services.items():
            team, service = name.split("/")
            for number in range(count):
                executor_id = f"{service}-{number}"
                standin = ExecutorStandin(
                    clock=self.clock,
                    settings=ExecutorSettings(
                        executor_id=executor_id,
                        service_time_ms=self.plan.service_time_ms,
                    ),
                )
                self.executors[executor_id] = standin
                records.append(
                    ExecutorRecord(
                        executor_id=executor_id,
                        team=team,
                        service=service,
                        host=_HOST,
                        port=await self.nursery.start(standin.run),
                        failure_domain=_FAILURE_DOMAINS[number % len(_FAILURE_DOMAINS)],
                    )
                )
        return tuple(records)

    async def _start_workers(self) -> tuple[WorkerRecord, ...]:
        records: list[WorkerRecord] = []
        capacity = Resources(cores=32.0, memory_bytes=125_000_000_000)
        for number in range(self.plan.workers):
            worker_id = f"worker-{number}"
            standin = WorkerStandin(
                clock=self.clock,
                settings=WorkerSettings(worker_id=worker_id, capacity=capacity),
            )
            self.workers[worker_id] = standin
            records.append(
                WorkerRecord(
                    worker_id=worker_id,
                    rack=f"rack-{number // _RACK_SIZE}",
                    failure_domain=_FAILURE_DOMAINS[number % len(_FAILURE_DOMAINS)],
                    host=_HOST,
                    port=await self.nursery.start(standin.run),
                    capacity=capacity,
                )
            )
        return tuple(records)


@attrs.define(kw_only=True)
class LocalCluster:
    """Instances in this process on a local platform.

    Parameters
    ----------
    platform : LocalPlatform
        The running platform.
    instances : list of Instance
        Started instances, in order of their start.
    addresses : list of Addresses
        Addresses of the instances, in the same order.
    """

    platform: LocalPlatform
    instances: list[Instance] = attrs.field(factory=list)
    addresses: list[Addresses] = attrs.field(factory=list)

    @property
    def clock(self) -> Clock:
        """Clock shared by all components."""
        return self.platform.clock

    async def start(self) -> None:
        """Start the instances and wait until every shard is owned."""
        for _ in range(self.platform.plan.instances):
            await self.add_instance()
        await self.wait_settled()

    async def add_instance(self) -> Instance:
        """Start another instance."""
        number = len(self.instances)
        settings = self.platform.build_settings(f"i-{number}", number)
        instance = Instance(settings=settings, clock=self.clock)
        self.instances.append(instance)
        self.addresses.append(await self.platform.nursery.start(instance.run))
        return instance

    async def wait_settled(self) -> None:
        """Wait until every shard has an owner and all instances agree on the owners."""
        while not self._is_settled():
            await self.clock.sleep_ms(_SETTLE_POLL_INTERVAL_MS)

    def open_entry(self, number: int, token: str) -> EntryClient:
        """Open a caller's client of an instance."""
        port = self.addresses[number].entry_port
        return EntryClient(port=port, token=token, clock=self.clock)

    def open_admin(self, number: int, token: str = CLUSTER_TOKEN) -> AdminClient:
        """Open an operator's client of an instance."""
        return AdminClient(port=self.addresses[number].admin_port, token=token)

    def _is_settled(self) -> bool:
        remaining = [i for i in self.instances if not i.is_leaving]
        shards = self.platform.settings.shards
        count = shards.request_shards + shards.worker_shards
        owned = sum(len(i.ownership.list_served()) for i in remaining)
        table_revisions = {i.ownership.table.revision for i in remaining}
        return owned == count and len(table_revisions) == 1
