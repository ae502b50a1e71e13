"""Contract tests of the worker client, including faults."""

import json
import unittest
from collections.abc import Awaitable, Callable

import attrs
import trio
import trio.testing

from trefoilhook.clock import Clock, build_system_clock
from trefoilhook.exceptions import (
    AnswerLostError,
    FencedError,
    LeaseLostError,
    NotSentError,
)
from trefoilhook.standins import (
    Availability,
    FaultSettings,
    PairSlowdown,
    WorkerSettings,
    WorkerStandin,
)
from trefoilhook.workers import (
    CommandKind,
    CommandStatus,
    Resources,
    TaskState,
    WorkerClient,
    WorkerCommand,
)

_TTL_MS = 30_000.0
_SMALL = Resources(cores=1.0, memory_bytes=1_000)
_CAPACITY = Resources(cores=4.0, memory_bytes=10_000, accelerators=1)


@attrs.frozen(kw_only=True)
class WorkerFixture:
    """A worker on virtual time and a client connected to it."""

    clock: Clock
    worker: WorkerStandin
    client: WorkerClient

    async def order(self, kind: CommandKind, job_id: str, **fields):
        """Send one command, by default at epoch 1, and return its result."""
        epoch = fields.pop("epoch", 1)
        command = WorkerCommand(
            kind=kind,
            job_id=job_id,
            attempt_epoch=fields.pop("attempt_epoch", 1),
            attempt_sequence=fields.pop("attempt_sequence", 1),
            **fields,
        )
        return (await self.client.command(epoch, [command]))[0]

    async def start(self, job_id: str, *, run_ms=1_000.0, **fields) -> CommandStatus:
        """Start a small task and return the status of the command."""
        fields.setdefault("resources", _SMALL)
        result = await self.order(
            CommandKind.START, job_id, declared_run_ms=run_ms, **fields
        )
        return result.status


def run_with_worker(
    scenario: Callable[[WorkerFixture], Awaitable[None]], **settings: object
) -> None:
    """Run ``scenario`` against a worker whose lease is held at epoch 1."""

    async def main() -> None:
        clock = build_system_clock()
        settings.setdefault("capacity", _CAPACITY)
        worker = WorkerStandin(
            clock=clock, settings=WorkerSettings(worker_id="w1", **settings)
        )
        async with trio.open_nursery() as nursery:
            port = await nursery.start(worker.run)
            client = WorkerClient(
                worker_id="w1", host="127.0.0.1", port=port, clock=clock, timeout_ms=500
            )
            await client.acquire_lease("one", 1, _TTL_MS)
            await scenario(WorkerFixture(clock=clock, worker=worker, client=client))
            nursery.cancel_scope.cancel()

    # The sockets are real, so the virtual clock must not jump while data is in flight
    # in the kernel. The threshold makes it wait until the tasks have been idle.
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.05))


class LeaseTest(unittest.TestCase):
    """Lease acquisition, fencing by epoch, and expiry."""

    def test_takeovers(self):
        # (owner, epoch, error) against a lease held by "one" at epoch 3.
        table = [
            ("two", 4, None),
            ("one", 4, None),
            ("one", 3, None),
            ("two", 3, FencedError),
            ("two", 2, FencedError),
            ("one", 2, FencedError),
        ]
        for owner_id, epoch, error in table:
            with self.subTest(owner_id=owner_id, epoch=epoch):
                run_with_worker(self._build_takeover(owner_id, epoch, error))

    def _build_takeover(self, owner_id, epoch, error):
        async def scenario(fixture: WorkerFixture) -> None:
            await fixture.client.acquire_lease("one", 3, _TTL_MS)
            await fixture.start("job", epoch=3)
            if error is not None:
                with self.assertRaises(error):
                    await fixture.client.acquire_lease(owner_id, epoch, _TTL_MS)
                return
            inventory = await fixture.client.acquire_lease(owner_id, epoch, _TTL_MS)
            self.assertEqual(inventory.capacity, _CAPACITY)
            self.assertEqual(
                [(task.job_id, task.state) for task in inventory.tasks],
                [("job", TaskState.RUNNING)],
            )

        return scenario

    def test_old_owner_is_refused(self):
        # An owner is suspended, and another one acquires its worker at a higher epoch.
        # When the old owner resumes, the worker must refuse its commands; otherwise a
        # job could run twice.
        async def scenario(fixture: WorkerFixture) -> None:
            await fixture.client.acquire_lease("two", 2, _TTL_MS)
            with self.assertRaises(FencedError):
                await fixture.start("job")
            with self.assertRaises(FencedError):
                await fixture.client.renew(1, _TTL_MS)
            self.assertEqual(fixture.worker.records.starts, ())

        run_with_worker(scenario)

    def test_expired_lease_stops_tasks_and_stays_expired(self):
        # A worker is cut off from all owners. Its tasks must stop when the lease
        # expires, because they may then be started elsewhere, and the old lease cannot
        # be used or re-acquired at the same epoch.
        async def scenario(fixture: WorkerFixture) -> None:
            await fixture.start("job", run_ms=10 * _TTL_MS)
            await fixture.clock.sleep_ms(_TTL_MS + 1_000)
            with self.assertRaises(LeaseLostError):
                await fixture.client.renew(1, _TTL_MS)
            with self.assertRaises(LeaseLostError):
                await fixture.start("other")
            with self.assertRaises(LeaseLostError):
                await fixture.client.acquire_lease("one", 1, _TTL_MS)
            inventory = await fixture.client.acquire_lease("one", 2, _TTL_MS)
            self.assertEqual(inventory.tasks[0].state, TaskState.STOPPED)
            record = fixture.worker.records.starts[0]
            self.assertLessEqual(record.ended_ms - record.started_ms, _TTL_MS)

        run_with_worker(scenario)


class CommandTest(unittest.TestCase):
    """Commands and their outcomes."""

    def test_statuses(self):
        # (commands before, command, status, starts recorded); the job has one attempt
        # (1, 1) unless the row says otherwise.
        start = (CommandKind.START, {"resources": _SMALL, "declared_run_ms": 1e6})
        newer = (CommandKind.START, {**start[1], "attempt_sequence": 2})
        stop = (CommandKind.STOP, {})
        evict = (CommandKind.CHECKPOINT_EVICT, {})
        acknowledge = (CommandKind.ACKNOWLEDGE, {})
        slow = (CommandKind.THROTTLE, {"throttle_factor": 0.5})
        status = CommandStatus
        table = [
            ([], start, status.DONE, 1),
            ([start], start, status.ALREADY_DONE, 1),
            ([start, stop], start, status.ALREADY_DONE, 1),
            ([start, stop, acknowledge], start, status.STALE_ATTEMPT, 1),
            ([start, stop, acknowledge], newer, status.DONE, 2),
            ([stop], start, status.STALE_ATTEMPT, 0),
            ([newer], start, status.STALE_ATTEMPT, 1),
            ([], stop, status.UNKNOWN_TASK, 0),
            ([start], acknowledge, status.NOT_POSSIBLE, 1),
            ([start, evict], evict, status.ALREADY_DONE, 1),
            ([start], slow, status.DONE, 1),
            ([start, evict], slow, status.ALREADY_DONE, 1),
            (
                [start],
                (CommandKind.THROTTLE, {"throttle_factor": 0.0}),
                status.NOT_POSSIBLE,
                1,
            ),
            ([], (CommandKind.START, {}), status.NOT_POSSIBLE, 0),
        ]
        for number, (before, command, expected, starts) in enumerate(table):
            with self.subTest(row=number, command=command[0], expected=expected):
                run_with_worker(self._build_row(before, command, expected, starts))

    def _build_row(self, before, command, expected, starts):
        async def scenario(fixture: WorkerFixture) -> None:
            for kind, fields in before:
                await fixture.order(kind, "job", **fields)
            result = await fixture.order(command[0], "job", **command[1])
            self.assertEqual(result.status, expected)
            self.assertEqual(len(fixture.worker.records.starts), starts)

        return scenario

    def test_capacity_is_never_exceeded(self):
        # (resources started one after another, number of successful starts)
        table = [
            ([Resources(cores=1.5, memory_bytes=1)] * 3, 2),
            ([Resources(cores=0.1, memory_bytes=6_000)] * 2, 1),
            ([Resources(cores=0.1, memory_bytes=1, accelerators=1)] * 2, 1),
            ([Resources(cores=0.4, memory_bytes=1_000)] * 10, 10),
        ]
        for wanted, started in table:
            with self.subTest(wanted=wanted):
                run_with_worker(self._build_capacity(wanted, started))

    def _build_capacity(self, wanted, started):
        async def scenario(fixture: WorkerFixture) -> None:
            statuses = [
                await fixture.start(str(number), resources=resources)
                for number, resources in enumerate(wanted)
            ]
            self.assertEqual(statuses.count(CommandStatus.DONE), started)
            records = fixture.worker.records
            self.assertEqual(records.refused_starts, len(wanted) - started)
            self.assertLessEqual(records.high_water.memory_bytes, 10_000)
            self.assertLessEqual(records.high_water.cores, 4.0 + 1e-6)

        return scenario

    def test_results_are_kept_until_acknowledged(self):
        async def scenario(fixture: WorkerFixture) -> None:
            await fixture.start("good", payload=json.dumps({"result": "42"}))
            await fixture.start("bad", payload=json.dumps({"is_failing": True}))
            await fixture.clock.sleep_ms(2_000)
            for _ in range(2):
                heartbeat = await fixture.client.renew(1, _TTL_MS)
                self.assertEqual(
                    [(task.job_id, task.state) for task in heartbeat.tasks],
                    [("good", TaskState.FINISHED), ("bad", TaskState.FAILED)],
                )
                self.assertEqual(heartbeat.tasks[0].result, "42")
            await fixture.order(CommandKind.ACKNOWLEDGE, "good")
            heartbeat = await fixture.client.renew(1, _TTL_MS)
            self.assertEqual([task.job_id for task in heartbeat.tasks], ["bad"])

        run_with_worker(scenario)

    def test_evicted_task_resumes_from_its_checkpoint(self):
        async def scenario(fixture: WorkerFixture) -> None:
            await fixture.start("job", run_ms=10_000)
            await fixture.clock.sleep_ms(4_000)
            evicted = await fixture.order(CommandKind.CHECKPOINT_EVICT, "job")
            self.assertEqual(evicted.task.state, TaskState.EVICTED)
            await fixture.start(
                "job",
                run_ms=10_000,
                attempt_sequence=2,
                checkpoint=evicted.task.checkpoint,
            )
            await fixture.clock.sleep_ms(7_000)
            first, second = fixture.worker.records.starts
            self.assertEqual(second.state, "finished")
            self.assertEqual(second.resumed_ms, first.done_ms)
            self.assertAlmostEqual(
                second.ended_ms - second.started_ms, 10_000 - first.done_ms, delta=1
            )

        run_with_worker(scenario)

    def test_black_hole_fails_everything(self):
        async def scenario(fixture: WorkerFixture) -> None:
            await fixture.start("job")
            heartbeat = await fixture.client.renew(1, _TTL_MS)
            self.assertEqual(heartbeat.tasks[0].state, TaskState.FAILED)

        run_with_worker(scenario, is_black_hole=True)


class UsageTest(unittest.TestCase):
    """Slowdowns between tasks, and the reports that show them with a lag."""

    def test_pair_slows_and_report_lags(self):
        # Two tasks use all cores of the worker, and the victim runs at half speed. The
        # report shows this only after the report lag.
        pair = PairSlowdown(victim_class="seat", neighbour_class="roster", factor=2.0)
        half = Resources(cores=2.0, memory_bytes=1)

        async def scenario(fixture: WorkerFixture) -> None:
            await fixture.start("a", run_ms=8_000, task_class="seat", resources=half)
            await fixture.start("b", run_ms=60_000, task_class="roster", resources=half)
            await fixture.clock.sleep_ms(4_500)
            self.assertIsNone((await fixture.client.renew(1, _TTL_MS)).report)
            await fixture.clock.sleep_ms(3_000)
            report = (await fixture.client.renew(1, _TTL_MS)).report
            self.assertEqual([usage.slowdown for usage in report.usages], [2.0, 1.0])
            self.assertGreaterEqual(report.age_ms, 5_000)
            await fixture.clock.sleep_ms(12_000)
            record = fixture.worker.records.starts[0]
            self.assertAlmostEqual(
                record.ended_ms - record.started_ms, 16_000, delta=500
            )

        run_with_worker(scenario, slowdowns=(pair,))

    def test_throttled_neighbour_slows_less(self):
        pair = PairSlowdown(victim_class="seat", neighbour_class="roster", factor=2.0)
        half = Resources(cores=2.0, memory_bytes=1)

        async def scenario(fixture: WorkerFixture) -> None:
            await fixture.start("a", run_ms=60_000, task_class="seat", resources=half)
            await fixture.start("b", run_ms=60_000, task_class="roster", resources=half)
            await fixture.order(CommandKind.THROTTLE, "b", throttle_factor=0.5)
            await fixture.clock.sleep_ms(7_000)
            usages = (await fixture.client.renew(1, _TTL_MS)).report.usages
            self.assertEqual([usage.slowdown for usage in usages], [1.75, 1.0])
            self.assertEqual([usage.is_throttled for usage in usages], [False, True])

        run_with_worker(scenario, slowdowns=(pair,))


class FaultTest(unittest.TestCase):
    """Errors raised by the client for faulty workers."""

    def test_faults(self):
        # (fault, error, did the start take effect)
        table = [
            (FaultSettings(availability=Availability.REFUSING), NotSentError, False),
            (FaultSettings(availability=Availability.HANGING), AnswerLostError, False),
            (FaultSettings(lost_answers=1), AnswerLostError, True),
        ]
        for fault, error, is_done in table:
            with self.subTest(fault=fault):
                run_with_worker(self._build_fault(fault, error, is_done))

    def _build_fault(self, fault, error, is_done):
        async def scenario(fixture: WorkerFixture) -> None:
            await fixture.worker.server.change_faults(fault)
            with self.assertRaises(error):
                await fixture.start("job")
            self.assertEqual(len(fixture.worker.records.starts), int(is_done))

        return scenario

    def test_start_sent_again_after_a_lost_answer_runs_once(self):
        async def scenario(fixture: WorkerFixture) -> None:
            await fixture.worker.server.change_faults(FaultSettings(lost_answers=1))
            with self.assertRaises(AnswerLostError):
                await fixture.start("job")
            self.assertEqual(await fixture.start("job"), CommandStatus.ALREADY_DONE)
            self.assertEqual(len(fixture.worker.records.starts), 1)

        run_with_worker(scenario)

    def test_replacement_worker_at_the_address_refuses_commands(self):
        # A worker is replaced by another one at the same address. Commands for the old
        # worker must not be executed by the new one, which the sender does not know.
        async def scenario(fixture: WorkerFixture) -> None:
            stranger = WorkerClient(
                worker_id="gone",
                host="127.0.0.1",
                port=fixture.worker.server.port,
                clock=fixture.clock,
                timeout_ms=500,
            )
            with self.assertRaises(NotSentError):
                await stranger.acquire_lease("one", 9, _TTL_MS)
            await fixture.client.renew(1, _TTL_MS)

        run_with_worker(scenario)

    def test_restarted_worker_has_no_tasks(self):
        async def scenario(fixture: WorkerFixture) -> None:
            await fixture.start("job")
            fixture.worker.state.reset_state()
            with self.assertRaises(LeaseLostError):
                await fixture.client.renew(1, _TTL_MS)
            inventory = await fixture.client.acquire_lease("one", 2, _TTL_MS)
            self.assertEqual(inventory.tasks, ())
            self.assertEqual(fixture.worker.records.starts[0].state, "lost")

        run_with_worker(scenario)
