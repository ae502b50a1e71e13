"""The days of our own in ``deploy/days``, and the table that says what they found.

A day that names a site's own zone or kind of request plays on that site alone, and is
left out on all others without a word. A day that the table doesn't list has no known
outcome.
"""

import pathlib
import re
import tomllib
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAYS = ROOT / "deploy" / "days"
PAGE = ROOT / "docs" / "MEASUREMENTS.md"
TABLE_TITLE = "### Days of our own"

PLACEHOLDERS = {
    "class": re.compile(r"@c[0-2]"),
    "service": re.compile(r"@s0"),
    "zone": re.compile(r"@z[0-2]"),
    "to_zone": re.compile(r"@z[0-2]"),
}


def _read_days() -> dict[str, dict]:
    return {path.stem: tomllib.loads(path.read_text()) for path in DAYS.glob("*.toml")}


def _list_disruptions(day: dict) -> list[dict]:
    return [*day["faults"], *day["plan"]]


def _describe_disruptions(day: dict) -> set[str]:
    return {
        f"{row['kind']} {row.get('how', '')}".strip() for row in _list_disruptions(day)
    }


def _read_table() -> list[list[str]]:
    """Return the cells of each row of the page's table, without its two head rows."""
    section = PAGE.read_text().split(TABLE_TITLE + "\n", 1)[1]
    section = re.split(r"^#", section, maxsplit=1, flags=re.MULTILINE)[0]
    rows = [line for line in section.splitlines() if line.startswith("| ")]
    return [[cell.strip() for cell in row.strip("|").split("|")] for row in rows[1:]]


class DaysTest(unittest.TestCase):
    """Every file of the folder."""

    def setUp(self):
        self.days = _read_days()

    def _check_placeholder(self, field: str, name: str):
        self.assertTrue(PLACEHOLDERS[field].fullmatch(name), name)

    def test_folder_holds_days_only(self):
        self.assertTrue(self.days)
        others = [path.name for path in DAYS.iterdir() if path.suffix != ".toml"]
        self.assertEqual(others, [])

    def test_name_is_that_of_the_file(self):
        for stem, day in self.days.items():
            self.assertEqual(day["name"], stem.replace("_", "-"))

    def test_names_of_sites_are_placeholders(self):
        for stem, day in self.days.items():
            for row in [*_list_disruptions(day), *day.get("traffic", [])]:
                for field in PLACEHOLDERS.keys() & row.keys():
                    with self.subTest(day=stem, field=field):
                        self._check_placeholder(field, row[field])

    def test_kinds_of_request_in_a_mix_are_placeholders(self):
        for stem, day in self.days.items():
            for row in day.get("traffic", []):
                for name in row["mix"]:
                    with self.subTest(day=stem):
                        self._check_placeholder("class", name)

    def test_day_disrupts_something_and_has_a_floor(self):
        for stem, day in self.days.items():
            with self.subTest(day=stem):
                self.assertTrue(_list_disruptions(day))
                self.assertGreater(day["goal"]["floor"], 0)


class TableTest(unittest.TestCase):
    """The table of ``docs/MEASUREMENTS.md`` against the files."""

    def setUp(self):
        self.days = _read_days()
        self.rows = _read_table()

    def test_table_lists_each_file_once_and_no_other(self):
        listed = [row[0].strip("`") for row in self.rows]
        self.assertEqual(sorted(listed), sorted(self.days))

    def test_row_names_what_the_file_plays(self):
        for day, disruptions, *_ in self.rows:
            with self.subTest(day=day):
                listed = set(disruptions.split(", "))
                self.assertEqual(
                    listed, _describe_disruptions(self.days[day.strip("`")])
                )


if __name__ == "__main__":
    unittest.main()
