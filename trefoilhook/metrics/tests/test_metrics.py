"""Tests of the exposed metrics."""

import unittest

from prometheus_client.parser import text_string_to_metric_families

from trefoilhook.metrics import MAX_SERIES, Instrument, Kind, Metrics


def _build_metrics():
    return Metrics(instance_id="i-1", failure_domain="fd-1", region="r-1")


def _read(metrics):
    """Return the sample values by name and attribute values."""
    text = metrics.render().decode()
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


class MetricsTest(unittest.TestCase):
    """Exposition, the bound on series, and several instances in one process."""

    def test_every_instrument_is_read_back(self):
        metrics = _build_metrics()
        for instrument in Instrument:
            values = ["x"] * len(instrument.value.attributes)
            if instrument.value.kind is Kind.COUNTER:
                metrics.add(instrument, 3, *values)
            elif instrument.value.kind is Kind.HISTOGRAM:
                metrics.record(instrument, 30.0, *values)
            else:
                metrics.register_gauge(
                    instrument, lambda values=values: {tuple(values): 3.0}
                )
        names = " ".join(str(key[0]) for key in _read(metrics))
        for instrument in Instrument:
            with self.subTest(instrument=instrument):
                self.assertIn(instrument.value.name.replace(".", "_"), names)

    def test_values_are_counted_by_attributes(self):
        metrics = _build_metrics()
        metrics.add(Instrument.REQUESTS, 2, "OK")
        metrics.add(Instrument.REQUESTS, 1, "OVERLOADED")
        metrics.observe_http("/v1/status", 200, 30.0)
        found = _read(metrics)
        self.assertEqual(found["trefoilhook_requests_total", "OK"], 2)
        self.assertEqual(found["trefoilhook_requests_total", "OVERLOADED"], 1)
        name = "http_server_request_duration_seconds_sum"
        self.assertAlmostEqual(found[name, "/v1/status", "200"], 0.03)

    def test_wrong_attributes_are_refused(self):
        for values in ((), ("a", "b")):
            with self.assertRaises(ValueError):
                _build_metrics().add(Instrument.REQUESTS, 1, *values)

    def test_series_are_bounded(self):
        # Guards against unbounded memory when an id is used as an attribute by mistake:
        # beyond the bound all further values are counted in one series.
        metrics = _build_metrics()
        for number in range(3 * MAX_SERIES):
            metrics.add(Instrument.REQUESTS, 1, f"id-{number}")
            metrics.record(Instrument.HTTP_DURATION, 1.0, f"id-{number}", "200")
        read = _read(metrics)
        for name in (
            "trefoilhook_requests_total",
            "http_server_request_duration_seconds_count",
        ):
            with self.subTest(name=name):
                found = [value for key, value in read.items() if key[0] == name]
                self.assertLessEqual(len(found), MAX_SERIES + 1)
                self.assertEqual(sum(found), 3 * MAX_SERIES)

    def test_instances_in_one_process_are_separate(self):
        first, second = _build_metrics(), _build_metrics()
        first.add(Instrument.REQUESTS, 1, "OK")
        self.assertNotIn(("trefoilhook_requests_total", "OK"), _read(second))
