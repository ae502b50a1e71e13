"""Tests of the description of unexpected exceptions."""

import unittest

from trefoilhook.logs import describe_failure


def _divide(value: float, divisor: float) -> float:
    return value / divisor


class FailureTest(unittest.TestCase):
    """What a log line tells of an exception."""

    def test_place_in_the_innermost_function(self):
        try:
            _divide(1.0, 0.0)
        except ZeroDivisionError as error:
            described = describe_failure(error)
        self.assertIn("ZeroDivisionError", described["error"])
        self.assertRegex(described["raised_in"], r"test_failures\.py:\d+ _divide")

    def test_cause_inside_nested_groups(self):
        group = ExceptionGroup("a", [ExceptionGroup("b", [KeyError("job")])])
        self.assertEqual(describe_failure(group)["error"], "KeyError('job')")

    def test_long_error_is_cut(self):
        self.assertLess(len(describe_failure(ValueError("x" * 9999))["error"]), 999)
