"""Tests of the nose2 plugin for known failures."""

import io
import unittest

from nose2 import events, result

from tools.known_red import KnownRed, KnownRedError, RedTest, read_red_tests

LISTED = "tools.tests.test_known_red.SampleCase.test_listed"


class SampleCase(unittest.TestCase):
    """Tests whose outcomes are passed to the plugin; they succeed when run."""

    def test_listed(self):
        pass

    def test_unlisted(self):
        pass


def _report_outcome(plugin: KnownRed, test: unittest.TestCase, outcome: str):
    event = events.TestOutcomeEvent(
        test, None, outcome, expected=outcome == result.PASS
    )
    plugin.setTestOutcome(event)
    return event


class _Unregistered(KnownRed):
    """Plugin that does not register with a test runner session."""

    alwaysOn = False  # noqa: N815


class KnownRedTest(unittest.TestCase):
    """Outcomes of tests in a run with one listed test."""

    def setUp(self):
        red = RedTest(test_id=LISTED, cause="c", issue="issue 1", command="make test")
        self.plugin = _Unregistered(red_tests=[red])

    def test_failure_of_a_listed_test_is_expected_and_reported(self):
        for outcome in (result.FAIL, result.ERROR):
            with self.subTest(outcome=outcome):
                event = _report_outcome(self.plugin, SampleCase("test_listed"), outcome)
                self.assertTrue(event.expected)
                self.assertEqual(event.outcome, result.FAIL)
        (line,) = self.plugin.describe()
        self.assertIn("known red, passed over", line)

    def test_failure_of_an_unlisted_test_fails_the_run(self):
        event = _report_outcome(self.plugin, SampleCase("test_unlisted"), result.FAIL)
        self.assertFalse(event.expected)

    def test_listed_test_that_passes_is_reported(self):
        _report_outcome(self.plugin, SampleCase("test_listed"), result.PASS)
        (line,) = self.plugin.describe()
        self.assertIn("PASSES", line)

    def test_listed_test_that_is_not_run_is_reported(self):
        (line,) = self.plugin.describe()
        self.assertIn("NOT RUN", line)

    def test_failed_subtest_counts_for_its_test(self):
        case = SampleCase("test_listed")
        subtest = unittest.case._SubTest(case, "", {"outcome": 1})
        error = (AssertionError, AssertionError(), None)
        event = events.TestOutcomeEvent(subtest, None, result.SUBTEST, error)
        self.plugin.setTestOutcome(event)
        self.assertTrue(event.expected)
        self.assertEqual(event.outcome, result.FAIL)
        (line,) = self.plugin.describe()
        self.assertIn("known red, passed over", line)

    def test_report_is_written_after_the_summary(self):
        stream = unittest.runner._WritelnDecorator(io.StringIO())
        event = events.ReportSummaryEvent(None, stream, {})
        self.plugin.afterSummaryReport(event)
        self.assertIn(LISTED, stream.getvalue())

    def test_failure_of_a_listed_test_is_printed(self):
        # nose2 prints no traceback for an expected failure, so a failure of unknown
        # cause could not be diagnosed from the output.
        case = SampleCase("test_listed")
        failure = AssertionError("43 answers were lost")
        failure.add_note("5.86 signal 15 to d-0")
        error = (AssertionError, failure, None)
        event = events.TestOutcomeEvent(case, None, result.FAIL, error)
        self.plugin.setTestOutcome(event)
        stream = unittest.runner._WritelnDecorator(io.StringIO())
        self.plugin.afterSummaryReport(events.ReportSummaryEvent(None, stream, {}))
        self.assertIn("43 answers were lost", stream.getvalue())
        self.assertIn("5.86 signal 15 to d-0", stream.getvalue())


class ReadingTest(unittest.TestCase):
    """Parsing of the list."""

    def test_comments_and_blank_lines_are_ignored(self):
        self.assertEqual(read_red_tests("# none\n\n"), ())

    def test_fields_are_read(self):
        (red,) = read_red_tests("a.b.C.test_d | why | issue 14 | make soak SEED=7\n")
        self.assertEqual(red.test_id, "a.b.C.test_d")
        self.assertEqual(red.command, "make soak SEED=7")

    def test_invalid_lists_are_rejected(self):
        line = "t{} | why | issue 1 | command\n"
        cases = {
            "a field is missing": "a.b | why | issue 1\n",
            "a field is empty": "a.b | | issue 1 | command\n",
            "a test is named twice": line.format(1) * 2,
            "there are four": "".join(line.format(number) for number in range(4)),
        }
        for name, text in cases.items():
            with self.subTest(name), self.assertRaises(KnownRedError):
                read_red_tests(text)
