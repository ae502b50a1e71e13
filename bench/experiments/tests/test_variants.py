"""Variants of a deployment."""

import pathlib
import tempfile
import tomllib
import unittest

from bench.experiments.variants import draw_variant, write_variant

SITE = """
name = "d"

[[classes]]
name = "service"

[classes.jobs]
cpu = { mean = 3000.0, max = 5000.0 }
width = { mean = 6.0, max = 12.0 }
shares = { images = 5, load = 0.45, swing = 0.5, swing_s = 14.0, target_x = 5.0 }

[[classes]]
name = "batch"

[classes.jobs]
cpu = { mean = 1800.0, max = 3500.0 }
width = { mean = 8.0, max = 32.0 }
shares = { images = 9, presses = 4.0, heavy = 0.6 }

[[traffic]]
mix = { service = 0.2, batch = 5.0 }

[[day]]
name = "quiet"
traffic = [{ mix = { service = 0.2, batch = 4.0 } }]

[[day]]
name = "usual"
"""


class VariantTest(unittest.TestCase):
    """What is drawn, and what stays."""

    def setUp(self):
        self.site = tomllib.loads(SITE)

    def test_same_seed_draws_the_same(self):
        self.assertEqual(draw_variant(self.site, 3), draw_variant(self.site, 3))
        self.assertNotEqual(draw_variant(self.site, 3), draw_variant(self.site, 4))

    def test_given_file_is_left_as_it_is(self):
        draw_variant(self.site, 3)
        self.assertEqual(self.site, tomllib.loads(SITE))

    def test_what_tasks_are_like_changes(self):
        variant = draw_variant(self.site, 3)
        for before, after in zip(self.site["classes"], variant["classes"], strict=True):
            self.assertNotEqual(before["jobs"]["shares"], after["jobs"]["shares"])
            self.assertEqual(before["jobs"]["cpu"]["max"], after["jobs"]["cpu"]["max"])

    def test_mix_changes_alike_on_all_days(self):
        variant = draw_variant(self.site, 3)
        usual = variant["traffic"][0]["mix"]["batch"] / 5.0
        quiet = variant["day"][0]["traffic"][0]["mix"]["batch"] / 4.0
        self.assertAlmostEqual(usual, quiet, places=3)

    def test_written_file_reads_back_and_has_its_neighbour(self):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            site = root / "d.toml"
            site.write_text(SITE)
            (root / "wire.json").write_text("{}")
            path = write_variant(site, 3, root / "variants")
            self.assertEqual(
                tomllib.loads(path.read_text()), draw_variant(self.site, 3)
            )
            self.assertTrue((path.parent / "wire.json").exists())
