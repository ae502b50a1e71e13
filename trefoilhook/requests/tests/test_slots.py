"""Tests of slot accounting, the circuit breaker and the queue."""

import math
import unittest

from trefoilhook.requests.circuit import Circuit, CircuitState
from trefoilhook.requests.queueing import QueueRefusedError, ServiceQueue
from trefoilhook.requests.slots import AttemptOutcome, ExecutorSlots
from trefoilhook.results import ResultCode


def build_circuit():
    """Build a circuit breaker."""
    return Circuit(
        failure_limit=5, open_ms=1_000.0, open_limit_ms=4_000.0, probation_successes=3
    )


def build_slots(**changes):
    """Build the slot accounting of an executor with eight slots."""
    fields = {"slots": 8, "circuit": build_circuit(), "settle_ms": 250.0, **changes}
    return ExecutorSlots(**fields)


def take_all(slots, now_ms):
    """Acquire all free slots and return their number."""
    count = 0
    while slots.count_free(now_ms):
        slots.acquire(now_ms)
        count += 1
    return count


class SlotsTest(unittest.TestCase):
    """Slots in use, unconfirmed slots and reserved slots."""

    def test_slots_are_never_exceeded(self):
        slots = build_slots()
        self.assertEqual(take_all(slots, 0.0), 8)
        with self.assertRaises(RuntimeError):
            slots.acquire(0.0)

    def test_slot_is_released_only_when_request_has_ended(self):
        table = (
            (AttemptOutcome.ANSWERED, 8),
            (AttemptOutcome.FAILED, 8),
            (AttemptOutcome.NOT_SENT, 8),
            (AttemptOutcome.WITHDRAWN, 8),
            (AttemptOutcome.LOST, 7),
            (AttemptOutcome.CANCELLED_AFTER_SEND, 7),
        )
        for outcome, free in table:
            with self.subTest(outcome=outcome):
                slots = build_slots()
                slots.acquire(0.0)
                slots.release(outcome, now_ms=0.0)
                self.assertEqual(slots.count_free(0.0), free)

    def test_lost_request_is_released_by_executors_count(self):
        # A connection breaks while a request runs. Its slot stays in use as long as
        # the executor counts the request, even if other requests start and end.
        slots = build_slots()
        slots.acquire(0.0)
        slots.acquire(0.0)
        slots.release(AttemptOutcome.LOST, now_ms=0.0)
        self.assertFalse(slots.needs_probe(300.0))
        slots.release(AttemptOutcome.ANSWERED, now_ms=300.0)
        for in_use, unconfirmed in ((1, 1), (0, 0)):
            now_ms = slots._pause_at_ms
            self.assertEqual(slots.count_free(now_ms), 0)
            self.assertTrue(slots.needs_probe(now_ms))
            probe = slots.begin_probe(now_ms)
            slots.end_probe(probe, in_use=in_use, now_ms=now_ms)
            self.assertEqual(slots.unconfirmed, unconfirmed)
            self.assertEqual(slots.count_free(now_ms), 8 - unconfirmed)

    def test_probe_while_bytes_may_still_arrive_releases_nothing(self):
        # A connection breaks, and a probe shortly afterwards reports no running
        # request. The bytes of the lost request may still arrive and start it later.
        slots = build_slots()
        slots.acquire(0.0)
        slots.release(AttemptOutcome.LOST, now_ms=0.0)
        probe = slots.begin_probe(100.0)
        slots.end_probe(probe, in_use=0, now_ms=101.0)
        self.assertEqual(slots.unconfirmed, 1)

    def test_probe_during_own_requests_releases_nothing(self):
        # The executor reports only a total. If it were applied while this owner sends
        # another request, the lost request's slot could be assigned twice.
        slots = build_slots()
        slots.acquire(0.0)
        slots.release(AttemptOutcome.LOST, now_ms=0.0)
        slots.acquire(1.0)
        probe = slots.begin_probe(300.0)
        slots.end_probe(probe, in_use=0, now_ms=301.0)
        self.assertEqual(slots.unconfirmed, 1)
        slots.release(AttemptOutcome.ANSWERED, now_ms=302.0)
        probe = slots.begin_probe(302.0)
        slots._started += 1
        slots.end_probe(probe, in_use=0, now_ms=303.0)
        self.assertEqual(slots.unconfirmed, 1)

    def test_takeover_counts_requests_of_previous_owner(self):
        # An owner is suspended with five requests running and one checked but not sent.
        # The new owner learns of five and reserves a slot for the sixth.
        slots = build_slots(
            is_count_unknown=True, probe_from_ms=250.0, reserved_until_ms=60_000.0
        )
        self.assertEqual(slots.count_free(0.0), 0)
        self.assertFalse(slots.needs_probe(100.0))
        self.assertTrue(slots.needs_probe(250.0))
        slots.end_probe(slots.begin_probe(250.0), in_use=5, now_ms=251.0)
        self.assertEqual(slots.count_free(251.0), 2)
        slots.end_probe(slots.begin_probe(600.0), in_use=0, now_ms=601.0)
        self.assertEqual(slots.count_free(601.0), 7)
        self.assertEqual(slots.count_free(60_001.0), 8)

    def test_leaving_executor_has_no_free_slot(self):
        slots = build_slots(is_leaving=True)
        self.assertEqual((slots.count_free(0.0), slots.count_usable(0.0)), (0, 0))


class CircuitTest(unittest.TestCase):
    """Circuit breaker of a failing executor."""

    def test_opens_enters_probation_and_closes(self):
        circuit = build_circuit()
        opened = [circuit.record_failure(now_ms=0.0) for _ in range(5)]
        self.assertEqual(opened, [False] * 4 + [True])
        self.assertEqual(circuit.get_limit(now_ms=999.0, slots=8), 0)
        self.assertEqual(circuit.get_limit(now_ms=1_000.0, slots=8), 1)
        closed = [circuit.record_success() for _ in range(3)]
        self.assertEqual(closed, [False, False, True])
        self.assertEqual(circuit.get_limit(now_ms=1_001.0, slots=8), 8)

    def test_failed_probation_opens_longer_up_to_a_limit(self):
        circuit = build_circuit()
        for _ in range(5):
            circuit.record_failure(now_ms=0.0)
        waits, now_ms = [], 0.0
        for _ in range(4):
            started_ms = now_ms
            while not circuit.get_limit(now_ms=now_ms, slots=8):
                now_ms += 500.0
            waits.append(now_ms - started_ms)
            circuit.record_failure(now_ms=now_ms)
        self.assertEqual(waits, [1_000.0, 2_000.0, 4_000.0, 4_000.0])

    def test_success_between_failures_keeps_it_closed(self):
        circuit = build_circuit()
        for _ in range(20):
            circuit.record_failure(now_ms=0.0)
            circuit.record_success()
        self.assertIs(circuit.state, CircuitState.CLOSED)

    def test_bad_requests_of_one_caller_open_no_circuit(self):
        # One caller's requests fail on every executor. If they opened the circuits, all
        # other callers of the service would be refused.
        circuit = build_circuit()
        for _ in range(10):
            circuit.record_failure(now_ms=0.0, is_service_wide=True)
        self.assertIs(circuit.state, CircuitState.CLOSED)


class QueueTest(unittest.TestCase):
    """Refusal of requests that cannot start in time."""

    def test_refusals(self):
        # Mean run time 100 ms, four slots: each queued request adds 25 ms.
        table = (
            (0, 25.0, 10, None),
            (0, 24.0, 10, ResultCode.OVERLOADED),
            (3, 100.0, 10, None),
            (3, 99.0, 10, ResultCode.OVERLOADED),
            (3, math.inf, 3, ResultCode.OVERLOADED),
        )
        for waiting, deadline_ms, limit, code in table:
            with self.subTest(waiting=waiting, deadline_ms=deadline_ms):
                queue = ServiceQueue()
                queue.run_time.add_sample(100.0)
                fields = {"now_ms": 0.0, "slots": 4, "max_waiting": limit}
                for _ in range(waiting):
                    queue.enqueue(deadline_ms=math.inf, **fields)
                if code is None:
                    queue.enqueue(deadline_ms=deadline_ms, **fields)
                    continue
                with self.assertRaises(QueueRefusedError) as caught:
                    queue.enqueue(deadline_ms=deadline_ms, **fields)
                self.assertIs(caught.exception.code, code)
                self.assertGreater(caught.exception.retry_after_ms, 0)

    def test_expired_request_is_skipped(self):
        queue = ServiceQueue()
        fields = {"now_ms": 0.0, "slots": 8, "max_waiting": 10}
        expired = queue.enqueue(deadline_ms=50.0, **fields)
        live = queue.enqueue(deadline_ms=500.0, **fields)
        self.assertIs(queue.pop(100.0), live)
        self.assertTrue(expired.woken.is_set())


if __name__ == "__main__":
    unittest.main()
