"""A nose2 plugin that tolerates failures of the tests listed in ``KNOWN-RED.txt``.

A failure of a listed test does not fail the run. After the summary, each listed test is
printed with its cause, and whether it failed, passed or was not run. Any other failure
fails the run as usual.

Each line of the file lists one test: ``test id | cause | open issue | command``. Blank
lines and lines that begin with ``#`` are ignored.
"""

import pathlib
import traceback
import unittest
from collections.abc import Iterable

import attrs
from nose2 import events, result

__all__ = ["KnownRed", "KnownRedError", "RedTest", "read_red_tests"]

LIST_PATH = pathlib.Path("KNOWN-RED.txt")

MAX_RED_TESTS = 3
"""Maximum number of listed tests allowed by the project."""

_FIELDS = 4


class KnownRedError(Exception):
    """The list of known failures is invalid or too long."""


@attrs.frozen(kw_only=True)
class RedTest:
    """A listed test.

    Parameters
    ----------
    test_id : str
        Dotted name of the test.
    cause : str
        Cause of the failure.
    issue : str
        Open issue for the failure.
    command : str
        Command, with its seed, that showed the failure.
    """

    test_id: str
    cause: str
    issue: str
    command: str


def read_red_tests(text: str) -> tuple[RedTest, ...]:
    """Parse the list of known failures.

    Raises
    ------
    KnownRedError
        If a line lacks a field, a test is listed twice or too many tests are listed.
    """
    tests: dict[str, RedTest] = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != _FIELDS or not all(fields):
            raise KnownRedError(
                f"expected 'test | cause | issue | command', got {line!r}"
            )
        test_id, cause, issue, command = fields
        if test_id in tests:
            raise KnownRedError(f"test is listed twice: {test_id}")
        tests[test_id] = RedTest(
            test_id=test_id, cause=cause, issue=issue, command=command
        )
    if len(tests) > MAX_RED_TESTS:
        raise KnownRedError(f"{len(tests)} tests listed; the limit is {MAX_RED_TESTS}")
    return tuple(tests.values())


def _get_test_id(test: unittest.TestCase) -> str:
    """Return the id of a test, or for a subtest that of its test."""
    return getattr(test, "test_case", test).id()


def _format_failure(event: events.TestOutcomeEvent) -> str:
    """Return the id of a failed test and the traceback of its failure."""
    lines = traceback.format_exception(*event.exc_info) if event.exc_info else []
    return f"{event.test.id()}\n{''.join(lines)}"


class KnownRed(events.Plugin):
    """Marks failures of listed tests as expected, and reports each listed test."""

    configSection = "known-red"  # noqa: N815
    alwaysOn = True  # noqa: N815

    def __init__(self, red_tests: Iterable[RedTest] | None = None) -> None:
        if red_tests is None:
            red_tests = (
                read_red_tests(LIST_PATH.read_text()) if LIST_PATH.exists() else ()
            )
        self._red_tests = {red.test_id: red for red in red_tests}
        self._failed: dict[str, bool] = {}
        self._failures: list[str] = []

    def setTestOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Mark the failure of a listed test as expected."""
        name = _get_test_id(event.test)
        if name not in self._red_tests:
            return
        has_failed = event.outcome in (result.FAIL, result.ERROR) or (
            event.outcome == result.SUBTEST and event.exc_info is not None
        )
        self._failed[name] = self._failed.get(name, False) or has_failed
        if has_failed:
            event.outcome = result.FAIL
            event.expected = True
            self._failures.append(_format_failure(event))

    def afterSummaryReport(self, event: events.ReportSummaryEvent) -> None:  # noqa: N802
        """Print the failures and the status of the listed tests.

        nose2 prints no traceback for an expected failure, and a failure whose cause is
        unknown may not recur.
        """
        for line in [*self._failures, *self.describe()]:
            event.stream.writeln(line)

    def describe(self) -> list[str]:
        """Return a line with the status of each listed test."""
        lines = []
        for name, red in self._red_tests.items():
            if name not in self._failed:
                status = "listed red, NOT RUN"
            elif self._failed[name]:
                status = "known red, passed over"
            else:
                status = "listed red but PASSES: take it off the list"
            lines.append(f"{status}: {name} ({red.cause}; {red.issue}; {red.command})")
        return lines
