"""Consistency of the day files in ``deploy/days`` and the table of their outcomes.

A day that contains a zone, service or request class of one site runs on that site only
and is silently skipped on all others. A day missing from the table has no known
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
    """Return the cells of each row of the table, without its header."""
    section = PAGE.read_text().split(TABLE_TITLE + "\n", 1)[1]
    section = re.split(r"^#", section, maxsplit=1, flags=re.MULTILINE)[0]
    rows = [line for line in section.splitlines() if line.startswith("| ")]
    return [[cell.strip() for cell in row.strip("|").split("|")] for row in rows[1:]]


class DaysTest(unittest.TestCase):
    """Contents of the day files."""

    def setUp(self):
        self.days = _read_days()

    def _check_placeholder(self, field: str, name: str):
        self.assertTrue(PLACEHOLDERS[field].fullmatch(name), name)

    def test_folder_contains_day_files_only(self):
        self.assertTrue(self.days)
        others = [path.name for path in DAYS.iterdir() if path.suffix != ".toml"]
        self.assertEqual(others, [])

    def test_name_matches_file_name(self):
        for stem, day in self.days.items():
            self.assertEqual(day["name"], stem.replace("_", "-"))

    def test_site_specific_names_are_placeholders(self):
        for stem, day in self.days.items():
            for row in [*_list_disruptions(day), *day.get("traffic", [])]:
                for field in PLACEHOLDERS.keys() & row.keys():
                    with self.subTest(day=stem, field=field):
                        self._check_placeholder(field, row[field])

    def test_request_classes_in_a_mix_are_placeholders(self):
        for stem, day in self.days.items():
            for row in day.get("traffic", []):
                for name in row["mix"]:
                    with self.subTest(day=stem):
                        self._check_placeholder("class", name)

    def test_day_has_disruptions_and_a_positive_floor(self):
        for stem, day in self.days.items():
            with self.subTest(day=stem):
                self.assertTrue(_list_disruptions(day))
                self.assertGreater(day["goal"]["floor"], 0)


class TableTest(unittest.TestCase):
    """Table in ``docs/MEASUREMENTS.md``, compared with the day files."""

    def setUp(self):
        self.days = _read_days()
        self.rows = _read_table()

    def test_table_lists_each_file_exactly_once(self):
        listed = [row[0].strip("`") for row in self.rows]
        self.assertEqual(sorted(listed), sorted(self.days))

    def test_row_lists_disruptions_of_the_file(self):
        for day, disruptions, *_ in self.rows:
            with self.subTest(day=day):
                listed = set(disruptions.split(", "))
                self.assertEqual(
                    listed, _describe_disruptions(self.days[day.strip("`")])
                )


if __name__ == "__main__":
    unittest.main()
