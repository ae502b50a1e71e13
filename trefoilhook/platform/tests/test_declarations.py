"""Tests of the decoding of entries in the store and of submissions."""

import json
import unittest
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st

from trefoilhook.decoding.tests.test_readers import DEEPLY_NESTED_JSON, NO_VALUE, VALUES
from trefoilhook.exceptions import DecodeError, RequestError
from trefoilhook.platform import (
    decode_configuration,
    decode_evacuation,
    decode_job,
    decode_worker_report,
)
from trefoilhook.scheduling import Configuration, Demand, Job, WorkerReport

ENTRY = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1"],
    "sequence": 4,
}
ROUTE = {
    "name": "r",
    "host": "h",
    "prefix": "/r/",
    "priority": 0,
    "service": "s",
    "max_attempts": 3,
    "stretch": 1.5,
    "target_latency_ms": 250,
}
CONFIGURATION = {"version": 7, "routes": [ROUTE], "services": [{"name": "other"}]}
JOB = {"spec": "x", "steps": [{"count": 2, "cpu": 500, "mem_mb": 10}]}


def change(table: dict, field: str, value: Any) -> dict:
    """Return a copy with one field changed, or without it."""
    changed = {**table, field: value}
    if value is NO_VALUE:
        del changed[field]
    return changed


def change_any(table: dict) -> st.SearchStrategy[bytes]:
    """Return a strategy that replaces one field of a valid object by any value."""
    fields = st.sampled_from(sorted(table))
    return st.builds(
        lambda field, value: json.dumps(change(table, field, value)).encode(),
        fields,
        VALUES,
    )


def read_entry(data: bytes, key: str = "servers/w") -> WorkerReport:
    """Decode an entry."""
    return decode_worker_report(key, data)


class WorkerReportTest(unittest.TestCase):
    """Worker entries, and foreign entries at their keys."""

    def test_valid_entry(self):
        report = read_entry(json.dumps(ENTRY).encode())
        self.assertEqual(report.worker_id, "w")
        self.assertEqual((report.host, report.port), ("10.0.0.9", 8080))
        self.assertEqual(report.capacity, Demand(cpu=16000, memory_mb=32768))
        self.assertEqual(report.labels, ("a", "r1"))
        self.assertFalse(report.draining)
        self.assertIsNone(report.born_ms)
        report = read_entry(json.dumps({**ENTRY, "born": 1783700625106}).encode())
        self.assertEqual(report.born_ms, 1783700625106)

    def test_draining_entry(self):
        entry = {**ENTRY, "state": "draining", "remaining_ms": 4000}
        report = read_entry(json.dumps(entry).encode())
        self.assertTrue(report.draining)
        self.assertEqual(report.remaining_ms, 4000.0)

    def test_refused_fields(self):
        # Guards against foreign entries that resemble a worker entry. Partly decoded,
        # they would attract starts to a worker that doesn't exist, or raise an error in
        # the owner.
        table = (
            ("state", (NO_VALUE, None, 1, True, [], {}, "", "READY", "gone")),
            (
                "address",
                (NO_VALUE, None, 80, [], "", "h", "h:", ":80", "h:0", "h:99999"),
            ),
            ("address", ("h:-1", "h: 80", "h:8_0", "h:٨", "a b:80", "h\r\n:80")),
            # Guards against hosts that the connection library fails to convert.
            ("address", ("a..b:80", "...:80", f"{'a' * 64}:80", ".h:80")),
            ("capacity", (NO_VALUE, None, [], "16", 1, {}, {"cpu": "1", "mem_mb": 1})),
            ("capacity", ({"cpu": True, "mem_mb": 1}, {"cpu": 1}, {"mem_mb": 1})),
            ("capacity", ({"cpu": 1, "mem_mb": 1, "gpu": None},)),
            ("capacity", ({"cpu": -1, "mem_mb": 1}, {"cpu": 1.5, "mem_mb": 1})),
            ("service", (NO_VALUE, None, 1, [], "")),
            ("zone", (NO_VALUE, None, 1, [])),
            ("labels", (NO_VALUE, None, "ab", {}, [1], [None])),
            ("remaining_ms", (None, "soon", True, [], -1)),
            ("version", (NO_VALUE, None, 1)),
            ("slots", (NO_VALUE, None, "8", True)),
            ("cold_left_ms", (NO_VALUE, None, "0")),
            ("sequence", (NO_VALUE, None, "4")),
            ("born", (None, "1783700625106", 1783700625106.0, True, [], -1)),
        )
        for field, values in table:
            for value in values:
                entry = change(ENTRY, field, value)
                with (
                    self.subTest(field=field, value=repr(value)),
                    self.assertRaises(DecodeError),
                ):
                    read_entry(json.dumps(entry).encode())

    def test_refused_bytes(self):
        table = (b"", b"\xff", b"null", b"[]", b'"ready"', DEEPLY_NESTED_JSON, b"{}")
        for data in table:
            with self.subTest(data=data[:9]), self.assertRaises(DecodeError):
                read_entry(data)

    def test_refused_ids(self):
        # The id is sent as a header, which can't contain a line break.
        data = json.dumps(ENTRY).encode()
        for key in ("servers/", "servers/a/b", "servers/a b", "servers/é", "other/w"):
            with self.subTest(key=key), self.assertRaises(DecodeError):
                read_entry(data, key)
        for key in ("servers/a\r\nb", "servers/a\n"):
            with self.subTest(key=key), self.assertRaises(DecodeError):
                read_entry(data, key)

    @settings(derandomize=True, deadline=None)
    @given(change_any(ENTRY) | st.binary(max_size=40), st.text(max_size=9))
    @example(DEEPLY_NESTED_JSON, "w")
    def test_any_entry(self, data: bytes, worker_id: str):
        try:
            self.assertIsInstance(
                read_entry(data, f"servers/{worker_id}"), WorkerReport
            )
        except DecodeError:
            return


class ConfigurationTest(unittest.TestCase):
    """The operator's configuration, route by route."""

    def read(self, table: Any) -> Any:
        """Decode a configuration."""
        return decode_configuration(json.dumps(table).encode())

    def test_valid_configuration(self):
        document = self.read(CONFIGURATION)
        self.assertEqual(document.problems, ())
        (queue,) = document.configuration.queues
        self.assertEqual((queue.name, queue.objective_ms), ("r", 250.0))
        self.assertEqual(document.configuration.services, {"s", "other"})

    def test_invalid_route_is_left_out(self):
        # One route has a string in place of a number. The other routes must be served,
        # and the invalid one must be reported.
        bad = {**ROUTE, "name": "bad", "priority": "0"}
        document = self.read({**CONFIGURATION, "routes": [bad, ROUTE]})
        self.assertEqual([q.name for q in document.configuration.queues], ["r"])
        self.assertEqual(document.problems, ("routes[0]: priority: not an integer",))

    def test_refused_routes(self):
        advice = {"decision_ms": 5, "period_ms": 1, "valid_ms": 3000}
        table = (
            ("name", (NO_VALUE, None, 1, "")),
            ("host", (NO_VALUE, 1, "")),
            ("prefix", (NO_VALUE, None, 1, "", "r/")),
            ("service", (NO_VALUE, 1, "")),
            ("priority", ("0", True, None, -1)),
            ("max_attempts", (0, "3", True)),
            ("stretch", ("1", None, True, -1)),
            ("target_latency_ms", ("1", None, -1)),
            ("advice", ([], "x", {**advice, "valid_ms": "x"}, {"decision_ms": 1})),
        )
        for field, values in table:
            for value in values:
                with self.subTest(field=field, value=repr(value)):
                    routes = [change(ROUTE, field, value)]
                    document = self.read({**CONFIGURATION, "routes": routes})
                    self.assertEqual(document.configuration.queues, ())
                    self.assertEqual(len(document.problems), 1)

    def test_refused_configurations(self):
        table = (
            change(CONFIGURATION, "version", "7"),
            change(CONFIGURATION, "version", True),
            change(CONFIGURATION, "version", 7.5),
            change(CONFIGURATION, "version", NO_VALUE),
            change(CONFIGURATION, "routes", {}),
            change(CONFIGURATION, "routes", NO_VALUE),
            [],
        )
        for value in table:
            with self.subTest(value=value), self.assertRaises(DecodeError):
                self.read(value)

    def test_unreadable_services(self):
        for value in (NO_VALUE, "s", [1], [{"name": 1}]):
            with self.subTest(value=value):
                document = self.read(change(CONFIGURATION, "services", value))
                self.assertEqual(document.configuration.services, {"s"})
                self.assertEqual(len(document.problems), 1)

    @settings(derandomize=True, deadline=None)
    @given(
        change_any(CONFIGURATION)
        | st.lists(change_any(ROUTE), max_size=3).map(
            lambda routes: json.dumps(
                {**CONFIGURATION, "routes": [json.loads(route) for route in routes]}
            ).encode()
        )
        | st.binary(max_size=40)
    )
    @example(DEEPLY_NESTED_JSON)
    def test_any_configuration(self, data: bytes):
        try:
            document = decode_configuration(data)
        except DecodeError:
            return
        self.assertIsInstance(document.configuration, Configuration)


class SubmissionTest(unittest.TestCase):
    """Decoding of submissions."""

    def read(self, data: bytes) -> Job:
        """Decode a submission."""
        return decode_job(data, job_id="j", queue="q", accepted_ms=1.0)

    def test_refused_submissions(self):
        step = JOB["steps"][0]
        table = (
            ("nested deeply", DEEPLY_NESTED_JSON),
            ("a list", []),
            ("no steps", {"spec": "x"}),
            ("spec a number", {**JOB, "spec": 1}),
            ("repeats a text", {**JOB, "repeat_count": "1"}),
            ("count a truth value", {"steps": [{**step, "count": True}]}),
            ("cpu a text", {"steps": [{**step, "cpu": "1"}]}),
            ("cpu negative", {"steps": [{**step, "cpu": -1}]}),
            ("image a list", {"steps": [{**step, "image": ["i"]}]}),
            ("gang a text", {"steps": [{**step, "gang": "false"}]}),
            ("after a text", {"steps": [step, {**step, "after": "0"}]}),
            ("after itself", {"steps": [{**step, "after": [0]}]}),
            ("estimate infinite", b'{"steps":[{"count":1,"estimate_ms":1e999}]}'),
        )
        for name, value in table:
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            with self.subTest(name), self.assertRaises(RequestError):
                self.read(data)

    def test_null_is_absent(self):
        # Some clients encode an empty list or a missing number as null.
        body = {**JOB, "steps": [{**JOB["steps"][0], "after": None, "image": None}]}
        job = self.read(json.dumps(body).encode())
        self.assertEqual((job.steps[0].after, job.steps[0].image), ((), ""))

    @settings(derandomize=True, deadline=None)
    @given(
        change_any(JOB)
        | change_any(
            {**JOB["steps"][0], "after": [], "gang": False, "image": "", "gpu": 0}
        ).map(lambda step: b'{"spec":"","steps":[%s]}' % step)
        | st.binary(max_size=40)
    )
    @example(DEEPLY_NESTED_JSON)
    def test_any_submission(self, data: bytes):
        try:
            self.assertIsInstance(self.read(data), Job)
        except RequestError:
            return


class EvacuationTest(unittest.TestCase):
    """The key alone determines an evacuation; an invalid value is only reported."""

    def test_failure_domain_is_read_from_key(self):
        entry = decode_evacuation("op/evacuate/sligo-hall", b"{}")
        self.assertEqual((entry.failure_domain, entry.problem), ("sligo-hall", ""))
        for key in ("op/evacuate/", "op/evacuate/ ", "op/evacuated/x", "op/config"):
            with self.subTest(key), self.assertRaises(DecodeError):
                decode_evacuation(key, b"{}")

    @given(st.one_of(st.binary(), change_any({"until_ms": 5, "zone": "x"})))
    def test_any_value_evacuates(self, data: bytes):
        entry = decode_evacuation("op/evacuate/x", data)
        self.assertEqual(entry.failure_domain, "x")
        if not entry.problem:
            self.assertEqual(json.loads(data), {})


if __name__ == "__main__":
    unittest.main()
