"""Disruptions and planned actions on a simulated fleet."""

from collections.abc import Awaitable, Callable

import trio

from bench.availability.fleet import Fleet, ServiceJob
from bench.availability.job_series import CLOSINGS, JOB_KINDS
from bench.availability.judge import Judge
from bench.availability.load import WORKER_CPU, build_service
from bench.availability.network import Fault
from bench.availability.series import PLANNED, UNPLANNED, Action
from bench.availability.worker import VirtualWorker
from trefoilhook.standins.platform_store import StoreFault
from trefoilhook.standins.platform_worker import WorkerFault

__all__ = ["Player"]

_NOTICES_MS = (0.0, 200.0, 2500.0, 10_000.0)


class Player:
    """Plays the actions of a series."""

    def __init__(self, fleet: Fleet, judge: Judge, nursery: trio.Nursery) -> None:
        self._fleet = fleet
        self._judge = judge
        self._nursery = nursery
        self._bystander = ""
        self._cut_off: list[VirtualWorker] = []

    async def play(self, action: Action) -> None:
        """Play an action to its end."""
        await _ACTIONS[action.kind](self, action)

    def _disrupt(self, duration_ms: float = 0.0) -> None:
        until_ms = self._fleet.clock.monotonic_ms() + duration_ms
        self._judge.disrupted_until_ms = max(self._judge.disrupted_until_ms, until_ms)

    def _choose(self, share: float) -> list[VirtualWorker]:
        alive = self._fleet.list_alive()
        count = min(len(alive) - 1, max(1, round(share * len(alive))))
        return self._fleet.random.sample(alive, max(0, count))

    async def _stop_owner(self, action: Action) -> None:
        owner = self._fleet.find_owner()
        if owner is not None:
            self._fleet.stop_instance(owner)

    async def _kill_owner(self, action: Action) -> None:
        owner = self._fleet.find_owner()
        if owner is not None:
            self._disrupt(1000.0)
            self._fleet.kill_instance(owner)

    async def _drain_workers(self, action: Action) -> None:
        notice_ms = self._fleet.random.choice(_NOTICES_MS)
        for worker in self._choose(min(action.share, 0.2)):
            self._nursery.start_soon(self._drain, worker, notice_ms)

    async def _drain(self, worker: VirtualWorker, notice_ms: float) -> None:
        cpu = worker.capacity["cpu"]
        is_dark = self._fleet.random.random() < 0.7
        await self._fleet.remove_worker(worker, notice_ms=notice_ms, is_dark=is_dark)
        self._fleet.start_worker(cpu=cpu)

    async def _roll_workers_and_owner(self, action: Action) -> None:
        until_ms = self._fleet.clock.monotonic_ms() + action.duration_ms
        while self._fleet.clock.monotonic_ms() < until_ms:
            await self._drain_workers(action)
            await self._fleet.clock.sleep_ms(self._fleet.random.uniform(1600.0, 3500.0))
            await self._stop_owner(action)

    async def _add_workers(self, action: Action) -> None:
        self._fleet.start_worker(cpu=WORKER_CPU)

    def _list_services(self) -> list[ServiceJob]:
        return [job for job in self._fleet.services.values() if not job.is_cancelled]

    async def _cancel_services(self, action: Action) -> None:
        services = self._list_services()
        count = min(len(services) - 1, max(1, round(action.share * len(services))))
        for job in self._fleet.random.sample(services, max(0, count)):
            self._fleet.cancel_service(job)

    async def _submit_services(self, action: Action) -> None:
        for _ in range(2):
            job = build_service(self._fleet, self._fleet.random, 0.5)
            self._fleet.submit_service(job)

    def _choose_service(self) -> str:
        services = self._list_services()
        return self._fleet.random.choice(services).job_id if services else "none"

    def _find_recent(self, job_id: str, after_ms: float) -> list[VirtualWorker]:
        """Return the workers on which tasks of a service were started after a time."""
        return [
            worker
            for worker in self._fleet.list_alive()
            if any(
                run.task.startswith(job_id) and run.started_ms > after_ms
                for run in worker.list_open()
            )
        ]

    async def _wait_for_recent(
        self, job_id: str, after_ms: float
    ) -> list[VirtualWorker]:
        """Return workers on which a service was started again, soon after that."""
        clock = self._fleet.clock
        give_up_ms = clock.monotonic_ms() + 12_000.0
        while clock.monotonic_ms() < give_up_ms:
            if self._find_recent(job_id, after_ms):
                await clock.sleep_ms(self._fleet.random.choice((100.0, 400.0, 1500.0)))
                return self._find_recent(job_id, after_ms)
            await clock.sleep_ms(100.0)
        return []

    async def _lose_a_service_repeatedly(self, action: Action) -> None:
        await self._end_a_service_repeatedly(action, is_dark=True)

    async def _crash_a_service_repeatedly(self, action: Action) -> None:
        await self._end_a_service_repeatedly(action, is_dark=False)

    async def _end_a_service_repeatedly(self, action: Action, *, is_dark: bool) -> None:
        """End the workers of the latest runs of a service, and of its next ones."""
        clock = self._fleet.clock
        job_id = self._choose_service()
        lost_ms = 0.0
        until_ms = clock.monotonic_ms() + action.duration_ms
        while clock.monotonic_ms() < until_ms:
            workers = await self._wait_for_recent(job_id, lost_ms)
            count = round(min(action.share, 0.35) * len(self._fleet.list_alive()))
            self._disrupt(700.0)
            lost_ms = clock.monotonic_ms()
            for worker in workers[: max(1, count)]:
                self._fleet.crash_worker(worker, is_dark=is_dark)
                self._nursery.start_soon(self._replace, worker, is_dark)

    async def _replace(self, worker: VirtualWorker, is_dark: bool) -> None:
        if is_dark:
            self._fleet.start_worker(cpu=worker.capacity["cpu"])
        else:
            await self._fleet.clock.sleep_ms(700.0)
            await self._fleet.restart_worker(worker)

    async def _crash_workers(self, action: Action) -> None:
        await self._end(self._choose(action.share), action, is_dark=False)

    async def _lose_workers(self, action: Action) -> None:
        await self._lose(self._choose(min(action.share, 0.35)))

    async def _lose_suspects(self, action: Action) -> None:
        """Lose workers soon after they started batch tasks that were lost before."""
        clock = self._fleet.clock
        until_ms = clock.monotonic_ms() + action.duration_ms
        lost_ms = 0.0
        while clock.monotonic_ms() < until_ms:
            await clock.sleep_ms(300.0)
            alive = self._fleet.list_alive()
            lost = self._list_lost()
            restarted = {
                each.worker_id: sum(
                    run.task in lost and run.started_ms > lost_ms
                    for run in each.list_open()
                )
                for each in alive
            }
            if lost and not any(restarted.values()):
                continue
            await clock.sleep_ms(300.0)
            alive.sort(key=lambda each: -restarted[each.worker_id])
            lost_ms = clock.monotonic_ms()
            workers = alive[: max(1, round(action.share * len(alive)))]
            self._nursery.start_soon(self._lose, workers)

    def _list_lost(self) -> set[str]:
        """Return the batch tasks that were running on lost workers."""
        return {
            run.task
            for worker in self._fleet.workers.values()
            for run in worker.records
            if run.how == "crashed" and self._fleet.is_batch(run.task)
        }

    async def _lose(self, workers: list[VirtualWorker]) -> None:
        self._disrupt(500.0)
        for worker in workers:
            self._fleet.crash_worker(worker, is_dark=True)
        await self._fleet.clock.sleep_ms(4000.0)
        for worker in workers:
            self._fleet.start_worker(cpu=worker.capacity["cpu"])

    async def _darken_workers(self, action: Action) -> None:
        await self._end(self._choose(action.share), action, is_dark=True)

    async def _darken_a_bystander(self, action: Action) -> None:
        """Darken workers, among them that of a task of an earlier wave."""
        workers = self._choose(action.share)
        hosts = self._list_hosts(self._bystander)
        workers = hosts + [each for each in workers if each not in hosts]
        runs = [run.task for each in workers for run in each.list_open()]
        batch = [task for task in runs if self._fleet.is_batch(task)]
        if not hosts and batch:
            self._bystander = self._fleet.random.choice(batch)
        await self._end(workers, action, is_dark=True)

    def _list_hosts(self, task: str) -> list[VirtualWorker]:
        return [
            worker
            for worker in self._fleet.list_alive()
            if any(run.task == task for run in worker.list_open())
        ]

    async def _end(
        self, workers: list[VirtualWorker], action: Action, *, is_dark: bool
    ) -> None:
        """End the processes of workers for the duration of an action."""
        self._disrupt(action.duration_ms)
        for worker in workers:
            self._fleet.crash_worker(worker, is_dark=is_dark)
        await self._fleet.clock.sleep_ms(action.duration_ms)
        for worker in workers:
            await self._fleet.restart_worker(worker)

    async def _end_all_workers(self, action: Action) -> None:
        await self._end(self._fleet.list_alive(), action, is_dark=True)

    async def _kill_all_instances(self, action: Action) -> None:
        self._disrupt(1000.0)
        for instance in self._fleet.list_running():
            self._fleet.kill_instance(instance)

    async def _power_off_everything(self, action: Action) -> None:
        await self._kill_all_instances(action)
        await self._end_all_workers(action)

    async def _flap_workers(self, action: Action) -> None:
        workers = self._choose(min(action.share, 0.35))
        self._disrupt(action.duration_ms + 700.0)
        until_ms = self._fleet.clock.monotonic_ms() + action.duration_ms
        while self._fleet.clock.monotonic_ms() < until_ms:
            for worker in workers:
                self._fleet.crash_worker(worker, is_dark=False)
            await self._fleet.clock.sleep_ms(700.0)
            for worker in workers:
                await self._fleet.restart_worker(worker)
            await self._fleet.clock.sleep_ms(700.0)

    async def _cut(
        self, action: Action, fault: Fault, caller: str, *, reaches_store: bool
    ) -> None:
        workers = self._choose(action.share)
        self._cut_off += workers
        self._disrupt(action.duration_ms)
        for worker in workers:
            self._fleet.network.set_fault(caller, worker.address, fault)
            worker.reaches_store = reaches_store
        await self._fleet.clock.sleep_ms(action.duration_ms)
        for worker in workers:
            if not worker.is_powered_off:
                self._fleet.network.set_fault(caller, worker.address, None)
            worker.reaches_store = True

    async def _cut_workers(self, action: Action) -> None:
        await self._cut(action, Fault.CUT, "", reaches_store=False)

    async def _cut_workers_one_way(self, action: Action) -> None:
        await self._cut(action, Fault.ONE_WAY, "", reaches_store=True)

    async def _lossy_workers(self, action: Action) -> None:
        await self._cut(action, Fault.LOSSY, "", reaches_store=True)

    async def _cut_workers_from_owner(self, action: Action) -> None:
        owner = self._fleet.find_owner()
        if owner is not None:
            await self._cut(action, Fault.CUT, owner.name, reaches_store=True)

    async def _cut_workers_from_instances(self, action: Action) -> None:
        """Cut workers from all instances; they keep their entries in the store."""
        await self._cut(action, Fault.CUT, "", reaches_store=True)

    async def _restart_cut_workers(self, action: Action) -> None:
        """Restart a fraction of the workers that are or were cut, behind their cuts."""
        candidates = [
            each
            for each in self._cut_off
            if each.reaches_store and not each.is_powered_off
        ]
        workers = candidates[: max(1, round(action.share * len(candidates)))]
        self._disrupt(action.duration_ms)
        for worker in workers:
            worker.power_off()
        await self._fleet.clock.sleep_ms(action.duration_ms)
        for worker in workers:
            await worker.restart(down_ms=0.0)
            worker.write_entry()

    async def _cut_owner_from_store(self, action: Action) -> None:
        owner = self._fleet.find_owner()
        if owner is None:
            return
        self._disrupt(action.duration_ms)
        self._fleet.set_store_fault(owner, Fault.CUT)
        await self._fleet.clock.sleep_ms(action.duration_ms)
        self._fleet.set_store_fault(owner, None)

    async def _fail_store(self, action: Action, fault: StoreFault) -> None:
        self._disrupt(action.duration_ms)
        self._fleet.store.fault = fault
        await self._fleet.clock.sleep_ms(action.duration_ms)
        self._fleet.store.fault = StoreFault.NONE

    async def _store_busy(self, action: Action) -> None:
        await self._fail_store(action, StoreFault.BUSY)

    async def _store_silent(self, action: Action) -> None:
        await self._fail_store(action, StoreFault.SILENT)

    async def _failing_workers(self, action: Action) -> None:
        workers = self._choose(action.share)
        self._disrupt(action.duration_ms)
        for worker in workers:
            worker.fault = WorkerFault.FAILS_TASKS
        await self._fleet.clock.sleep_ms(action.duration_ms)
        for worker in workers:
            worker.fault = WorkerFault.NONE

    async def _late_starts(self, action: Action) -> None:
        workers = self._choose(action.share)
        self._disrupt(action.duration_ms + 600.0)
        for worker in workers:
            worker.fault = WorkerFault.LATE_STARTS
        await self._fleet.clock.sleep_ms(action.duration_ms)
        for worker in workers:
            worker.fault = WorkerFault.NONE


_ACTIONS: dict[str, Callable[["Player", Action], Awaitable[None]]] = {
    kind: getattr(Player, "_" + kind.replace(" ", "_"))
    for kind in (*PLANNED, *UNPLANNED, *CLOSINGS, *JOB_KINDS)
}
