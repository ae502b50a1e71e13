"""Tests that the reference pages and the code agree, in both directions."""

import unittest

from trefoilhook.command.pages import DOCS, PAGES
from trefoilhook.logs import Event
from trefoilhook.results import Outcome, ResultCode


def _read(name):
    return (DOCS / name).read_text(encoding="utf-8")


def _read_rows(name):
    """Return the rows of a page's table, by the number in the first cell."""
    rows = {}
    for line in _read(name).splitlines():
        cells = [cell.strip() for cell in line.strip("|").split(" | ")]
        if cells[0].isdigit():
            assert cells[0] not in rows, f"{cells[0]} is listed twice in {name}"
            rows[cells[0]] = cells[1:]
    return rows


class PagesTest(unittest.TestCase):
    """Pages generated from the code."""

    def test_pages_are_current(self):
        for page in PAGES:
            with self.subTest(page=page.name):
                self.assertEqual(_read(page.name), page.render())

    def test_result_codes_agree_with_page(self):
        rows = _read_rows("RESULT_CODES.md")
        self.assertEqual({code.number for code in ResultCode}, set(map(int, rows)))
        for number, (name, outcome, may_retry, status, *_) in rows.items():
            code = ResultCode.from_number(int(number))
            self.assertEqual(code.name, name.strip("`"))
            self.assertEqual(code.outcome, Outcome(outcome))
            self.assertEqual(code.value.may_retry, may_retry == "yes")
            self.assertEqual(code.value.http_status, int(status))

    def test_events_agree_with_page(self):
        rows = _read_rows("EVENTS.md")
        self.assertEqual({event.number for event in Event}, set(map(int, rows)))
        for event in Event:
            name, level, _ = rows[str(event.number)]
            self.assertEqual((event.name, event.level.value), (name.strip("`"), level))

    def test_numbers_are_unique(self):
        for table in (ResultCode, Event):
            numbers = [row.number for row in table]
            self.assertEqual(len(numbers), len(set(numbers)))
