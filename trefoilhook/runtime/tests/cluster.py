"""Runs instances, workers and the store in one event loop, over real sockets."""

import json
import math
from collections.abc import Awaitable, Callable

import attrs
import trio

from trefoilhook.clock import Clock, build_boottime_clock
from trefoilhook.exceptions import TransportError
from trefoilhook.http import HttpClient, HttpRequest, HttpResponse
from trefoilhook.platform import Bounds, InstanceSize, ProcessSettings
from trefoilhook.runtime import Process, keys
from trefoilhook.standins import platform_documents
from trefoilhook.standins.cut import TcpCut
from trefoilhook.standins.platform_advice import PlatformAdvice
from trefoilhook.standins.platform_store import PlatformStore
from trefoilhook.standins.platform_worker import PlatformWorker, WorkerFault

HOST = "shop.example"
PREFIX = "/checks/"
_TIMEOUT_S = 40.0
"""Timeout of a scenario, in s. The longest takes 9 s on an idle machine."""


BOUNDS = Bounds(
    shutdown_ms=6000.0,
    max_task_lease_ms=6000.0,
    longest_stop_ms=200.0,
    status_ms=120_000.0,
    overload_ms=4000.0,
)

_RESTART_MS = 400.0
"""Time after which a crashed worker restarts, in ms."""

_ENTRY_REMOVAL_DELAY_MS = 600.0
"""Time between the restart and the removal of the old entry, in ms."""


def build_configuration(version: int, *prefixes: str) -> dict:
    """Build the operator's configuration."""
    return platform_documents.build_configuration(
        version, *(prefixes or (PREFIX,)), host=HOST
    )


def build_body(*counts: int) -> bytes:
    """Build a job of small steps with ``counts`` tasks, each after the previous one."""
    steps = [
        {
            "count": count,
            "cpu": 500,
            "mem_mb": 10,
            "estimate_ms": 200,
            **({"after": [number - 1]} if number else {}),
        }
        for number, count in enumerate(counts or (1,))
    ]
    return json.dumps({"spec": "x", "steps": steps}).encode()


@attrs.define(kw_only=True, eq=False)
class Instance:
    """A process under test, with the events and scope to end it."""

    process: Process
    stop: trio.Event
    scope: trio.CancelScope
    ended: trio.Event = attrs.Factory(trio.Event)


class Cluster:
    """The store, the workers and the instances of one test."""

    def __init__(self, nursery: trio.Nursery, *, task_ms: float) -> None:
        self._nursery = nursery
        self._task_ms = task_ms
        self.clock = build_boottime_clock()
        self.store = PlatformStore(clock=self.clock)
        self.workers: dict[str, PlatformWorker] = {}
        self.instances: list[Instance] = []
        self.advice: PlatformAdvice | None = None
        self.crash_delays_ms: dict[str, float] = {}
        self.crashed: list[str] = []
        self.restart_ms = _RESTART_MS
        self._scopes: dict[str, trio.CancelScope] = {}

    async def start_advice(self, *allowed: str) -> None:
        """Start the advice service, and configure the queue to require its advice."""
        self.advice = PlatformAdvice(allowed=allowed)
        await self._nursery.start(self.advice.server.run)
        configuration = build_configuration(2)
        for route in configuration["routes"]:
            route["advice"] = {"decision_ms": 5, "period_ms": 1, "valid_ms": 3000}
        self.store.write("op/config", configuration)

    async def start_store(self) -> None:
        """Start the store with an initial configuration."""
        await self._nursery.start(self.store.server.run)
        self._nursery.start_soon(self.store.expire_leases)
        self.store.write("op/config", build_configuration(1))

    async def start_cut(self) -> TcpCut:
        """Start a proxy between an instance and the store, which injects faults."""
        cut = TcpCut(
            clock=self.clock,
            target_host="127.0.0.1",
            target_port=self.store.server.port,
        )
        await self._nursery.start(cut.run)
        return cut

    async def start_worker(
        self,
        worker_id: str,
        *,
        listed: bool = True,
        checks_token: bool = True,
        port: int = 0,
    ) -> PlatformWorker:
        """Start a worker, with an entry in the store if ``listed``.

        Tasks of jobs in ``crash_delays_ms`` end its process, which restarts at its
        address.
        """
        worker = PlatformWorker(
            worker_id=worker_id,
            clock=self.clock,
            task_ms=self._task_ms,
            checks_token=checks_token,
            port=port,
            crash_delays_ms=self.crash_delays_ms,
            on_crash=lambda: self.crash_worker(worker_id),
        )
        self.workers[worker_id] = worker
        self._scopes[worker_id] = trio.CancelScope()
        await self._nursery.start(self._run_worker, worker)
        if listed:
            self.store.write(f"servers/{worker_id}", worker.describe("s"))
        return worker

    async def _run_worker(
        self,
        worker: PlatformWorker,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with self._scopes[worker.worker_id]:
            await worker.run(task_status=task_status)

    def crash_worker(self, worker_id: str) -> None:
        """End a worker's process; its old entry is removed only after the restart."""
        self.crashed.append(worker_id)
        self.workers[worker_id].power_off()
        self._scopes[worker_id].cancel()
        self._nursery.start_soon(self._replace_worker, worker_id)

    async def _replace_worker(self, worker_id: str) -> None:
        await self.clock.sleep_ms(self.restart_ms)
        base_id, _, restarts = worker_id.partition("-")
        port = self.workers[worker_id].server.port
        await self.start_worker(f"{base_id}-{int(restarts or 0) + 1}", port=port)
        await self.clock.sleep_ms(_ENTRY_REMOVAL_DELAY_MS)
        self.store.remove(f"servers/{worker_id}")

    async def start_instance(
        self,
        *,
        size: InstanceSize | None = None,
        clock: Clock | None = None,
        bounds: Bounds = BOUNDS,
        store_port: int | None = None,
    ) -> Instance:
        """Start an instance, and wait until it is ready.

        It uses ``clock`` and, to reach the store, ``store_port`` if given.
        """
        settings = ProcessSettings(
            name=f"i{len(self.instances)}",
            entry_address=("127.0.0.1", 0),
            readiness_address=("127.0.0.1", 0),
            store_address=("127.0.0.1", store_port or self.store.server.port),
            advice_address=("127.0.0.1", self.advice.server.port)
            if self.advice is not None
            else None,
            size=size or InstanceSize(),
            bounds=bounds,
        )
        instance = Instance(
            process=Process(settings=settings, clock=clock or self.clock),
            stop=trio.Event(),
            scope=trio.CancelScope(),
        )
        self.instances.append(instance)
        self._nursery.start_soon(self._run, instance)
        await self.wait_until(lambda: instance.process.readiness_port != 0)
        await self.wait_for(self._is_ready, instance)
        return instance

    async def _run(self, instance: Instance) -> None:
        with instance.scope:
            await instance.process.run(instance.stop)
        instance.ended.set()

    async def _is_ready(self, instance: Instance) -> bool:
        port = instance.process.readiness_port
        request = HttpRequest(method="GET", target="/trefoilhook/readyz")
        return (await self._send(port, request)).status == 200

    async def send(
        self,
        instance: Instance,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout_ms: float = 3000.0,
        host: str = HOST,
    ) -> HttpResponse:
        """Send a client request; the status is 0 if there is no answer."""
        request = HttpRequest(
            method=method,
            target=target,
            headers=(("host", host), ("deadline-ms", str(int(timeout_ms)))),
            body=body,
        )
        return await self._send(instance.process.entry_port, request)

    async def _send(self, port: int, request: HttpRequest) -> HttpResponse:
        client = PlainClient(host="127.0.0.1", port=port)
        try:
            return await client.send(request, timeout_ms=5000.0)
        except TransportError:
            return HttpResponse(status=0)
        finally:
            await client.close()

    def read_roster(self) -> list[str]:
        """Return the roster, with the ids of incarnations that are running."""
        names = self.store.read(keys.roster_key(keys.SHARD)) or []
        running = {f"{i}@{worker.born_ms}": i for i, worker in self.workers.items()}
        return [running.get(name, name) for name in names]

    async def run_failing_service(self, instance: Instance, job_id: str) -> None:
        """Run a service whose only task fails and has no worker to restart on."""
        step = {"count": 1, "cpu": 500, "mem_mb": 10, "long_running": True}
        body = json.dumps({"spec": "x", "steps": [step]}).encode()
        (worker,) = self.workers.values()
        worker.fault = WorkerFault.FAILS_TASKS
        await self.send(instance, "POST", PREFIX + job_id, body)
        await self.wait_until(lambda: bool(worker.records))
        self.store.remove(f"servers/{worker.worker_id}")
        await self.wait_until(lambda: worker.records[0].how == "failed")

    async def read_state(self, instance: Instance, job_id: str) -> str:
        """Return a job's state, or the HTTP status if it is not 200."""
        answer = await self.send(instance, "GET", PREFIX + job_id)
        if answer.status != 200:
            return str(answer.status)
        return answer.parse_json()["state"]

    async def wait_for_state(self, instance: Instance, job_id: str, state: str) -> None:
        """Wait until a job has a state."""

        async def has_state() -> bool:
            return await self.read_state(instance, job_id) == state

        await self.wait_for(has_state)

    async def wait_for(self, check: Callable[..., Awaitable[bool]], *args) -> None:
        """Wait until an asynchronous check holds."""
        while not await check(*args):
            await trio.sleep(0.02)

    async def wait_until(self, check: Callable[[], bool]) -> None:
        """Wait until a check holds."""
        while not check():
            await trio.sleep(0.01)

    async def wait_for_owner(self) -> Instance:
        """Wait until an instance owns the shard, and return it."""
        while True:
            for instance in self.instances:
                if instance.process.is_owner and not instance.ended.is_set():
                    return instance
            await trio.sleep(0.01)

    def check_failures(self) -> None:
        """Raise an error if an instance has contained an unexpected exception."""
        for instance in self.instances:
            failures = {
                name: count
                for name, count in instance.process.metrics.counters.items()
                if name[0] in ("owner_failures", "plan_failures", "call_failures")
            }
            if failures:
                raise AssertionError(f"contained failures: {failures}")

    def list_runs(self) -> list:
        """Return every run on every worker."""
        return [r for worker in self.workers.values() for r in worker.records]

    def find_duplicate_runs(self) -> list[str]:
        """Return the tasks with overlapping runs, or with a run after a done one."""
        found = []
        runs = sorted(self.list_runs(), key=lambda run: run.started_ms)
        for number, run in enumerate(runs):
            ended_ms = math.inf if run.ended_ms is None else run.ended_ms
            for later in runs[number + 1 :]:
                if later.task != run.task:
                    continue
                if later.started_ms < ended_ms or run.how == "done":
                    found.append(run.task)
        return found


class PlainClient(HttpClient):
    """A client that sends the ``host`` header of the request unchanged."""

    def _encode(self, connection, request):
        host = dict(request.headers).get("host", "none")
        kept, self._host, port, self._port = self._host, host, self._port, 80
        try:
            headers = tuple(h for h in request.headers if h[0] != "host")
            return super()._encode(connection, attrs.evolve(request, headers=headers))
        finally:
            self._host, self._port = kept, port


def run_cluster(
    scenario: Callable[[Cluster], Awaitable[None]],
    *,
    instances: int = 2,
    workers: int = 2,
    task_ms: float = 100.0,
    expects_failures: bool = False,
) -> None:
    """Run a scenario with a timeout.

    An error that an instance contains fails it unless ``expects_failures`` is set.
    """

    async def main() -> None:
        with trio.fail_after(_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                cluster = Cluster(nursery, task_ms=task_ms)
                await cluster.start_store()
                for number in range(workers):
                    await cluster.start_worker(f"w{number}")
                for _ in range(instances):
                    await cluster.start_instance()
                await scenario(cluster)
                if not expects_failures:
                    cluster.check_failures()
                nursery.cancel_scope.cancel()

    trio.run(main)
