"""A nose2 plugin that passes over the tests listed in ``KNOWN-RED.txt``.

A listed test that fails doesn't fail the run; each is printed with its cause, and one
that passes, or that wasn't run, is told. Every other failure fails the run as usual.

Each line of the file names one test: ``test id | cause | open issue | command``. Blank
lines and lines that begin with ``#`` are left out.
"""

import pathlib
import unittest
from collections.abc import Iterable

import attrs
from nose2 import events, result

__all__ = ["KnownRed", "KnownRedError", "RedTest", "read_red_tests"]

PATH = pathlib.Path("KNOWN-RED.txt")

MOST_RED_TESTS = 3
"""Most tests that may be listed at once; the project's rule."""

_FIELDS = 4


class KnownRedError(Exception):
    """The list can't be read, or is too long."""


@attrs.frozen(kw_only=True)
class RedTest:
    """One listed test.

    Parameters
    ----------
    test_id : str
        Dotted name of the test.
    cause : str
        Why it fails.
    issue : str
        Where that is to be mended.
    command : str
        How the fault was seen, with its seed.
    """

    test_id: str
    cause: str
    issue: str
    command: str


def read_red_tests(text: str) -> tuple[RedTest, ...]:
    """Read the list.

    Raises
    ------
    KnownRedError
        If a line lacks a field, a test is named twice, or too many are listed.
    """
    tests: dict[str, RedTest] = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != _FIELDS or not all(fields):
            raise KnownRedError(f"not 'test | cause | issue | command': {line!r}")
        test_id, cause, issue, command = fields
        if test_id in tests:
            raise KnownRedError(f"listed twice: {test_id}")
        tests[test_id] = RedTest(
            test_id=test_id, cause=cause, issue=issue, command=command
        )
    if len(tests) > MOST_RED_TESTS:
        raise KnownRedError(f"{len(tests)} tests listed, {MOST_RED_TESTS} at most")
    return tuple(tests.values())


def _name_test(test: unittest.TestCase) -> str:
    """Return the name of a test; a subtest has that of the test that it is part of."""
    return getattr(test, "test_case", test).id()


class KnownRed(events.Plugin):
    """Passes over listed failures, and says what became of each listed test."""

    configSection = "known-red"  # noqa: N815
    alwaysOn = True  # noqa: N815

    def __init__(self, red_tests: Iterable[RedTest] | None = None) -> None:
        if red_tests is None:
            red_tests = read_red_tests(PATH.read_text()) if PATH.exists() else ()
        self._red_tests = {red.test_id: red for red in red_tests}
        self._failed: dict[str, bool] = {}

    def setTestOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Have the failure of a listed test expected."""
        name = _name_test(event.test)
        if name not in self._red_tests:
            return
        has_failed = event.outcome in (result.FAIL, result.ERROR) or (
            event.outcome == result.SUBTEST and event.exc_info is not None
        )
        self._failed[name] = self._failed.get(name, False) or has_failed
        if has_failed:
            event.outcome = result.FAIL
            event.expected = True

    def afterSummaryReport(self, event: events.ReportSummaryEvent) -> None:  # noqa: N802
        """Print what became of each listed test."""
        for line in self.describe():
            event.stream.writeln(line)

    def describe(self) -> list[str]:
        """Tell what became of each listed test, a line each."""
        lines = []
        for name, red in self._red_tests.items():
            if name not in self._failed:
                fate = "listed red, NOT RUN"
            elif self._failed[name]:
                fate = "known red, passed over"
            else:
                fate = "listed red but PASSES: take it off the list"
            lines.append(f"{fate}: {name} ({red.cause}; {red.issue}; {red.command})")
        return lines
