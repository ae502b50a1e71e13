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
    """Drawn and unchanged properties of variants."""

    def setUp(self):
        self.site = tomllib.loads(SITE)

    def test_variants_are_deterministic(self):
        self.assertEqual(draw_variant(self.site, 3), draw_variant(self.site, 3))
        self.assertNotEqual(draw_variant(self.site, 3), draw_variant(self.site, 4))

    def test_input_is_not_modified(self):
        draw_variant(self.site, 3)
        self.assertEqual(self.site, tomllib.loads(SITE))

    def test_task_characteristics_change(self):
        variant = draw_variant(self.site, 3)
        for before, after in zip(self.site["classes"], variant["classes"], strict=True):
            self.assertNotEqual(before["jobs"]["shares"], after["jobs"]["shares"])
            self.assertEqual(before["jobs"]["cpu"]["max"], after["jobs"]["cpu"]["max"])

    def test_mix_is_scaled_equally_on_all_days(self):
        variant = draw_variant(self.site, 3)
        usual = variant["traffic"][0]["mix"]["batch"] / 5.0
        quiet = variant["day"][0]["traffic"][0]["mix"]["batch"] / 4.0
        self.assertAlmostEqual(usual, quiet, places=3)

    def test_variant_is_written_with_wire_file(self):
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
