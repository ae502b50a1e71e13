"""The burn report as text and as an HTML page."""

import re
import unittest
from xml.etree import ElementTree

from trefoilhook.burn import (
    Alert,
    BurnReport,
    SeriesPoint,
    ServiceBurn,
    SourceRow,
    TeamBurn,
    WindowBurn,
)
from trefoilhook.burn.page import render_html, render_text

_HOUR_MS = 3_600_000.0


def _build_report():
    series = tuple(
        SeriesPoint(at_ms=hour * _HOUR_MS, good=100, bad=hour, burn_rate=hour / 10)
        for hour in range(5)
    )
    service = ServiceBurn(
        team="a",
        service="<b>seats & more",
        latency_ms=100.0,
        target=0.99,
        windows=(WindowBurn(window="5m", good=10, bad=1, burn_rate=9.09),),
        budget_left=0.25,
        alert=Alert.TICKET,
        p50_ms=1.0,
        p99_ms=2.0,
        p999_ms=3.0,
        series=series,
    )
    return BurnReport(
        at_ms=5 * _HOUR_MS,
        period="28d",
        services=(service,),
        teams=(TeamBurn(team="a", good=10, bad=1, budget_left=0.25),),
        sources=(SourceRow(instance_id="i-1", started_ms=0.0, counted_until_ms=1.0),),
    )


class PageTest(unittest.TestCase):
    """Rendering of the report."""

    def test_text_shows_every_service_and_team(self):
        text = render_text(_build_report())
        for part in ("a/<b>seats & more", "ticket", "25.0%", "9.09", "28d"):
            self.assertIn(part, text)

    def test_page_loads_nothing_and_escapes_names(self):
        page = render_html(_build_report())
        self.assertNotIn("<b>seats", page)
        self.assertIn("&lt;b&gt;seats &amp; more", page)
        self.assertIsNone(re.search(r"(src|data)=|<link|<script|@import|<image", page))
        outer = [
            link
            for link in re.findall(r'href="([^"]*)"|url\(([^)]*)\)', page)
            if not any(part.startswith("#") for part in link)
        ]
        self.assertEqual(outer, [])

    def test_plots_are_well_formed_and_deterministic(self):
        page = render_html(_build_report())
        self.assertEqual(page, render_html(_build_report()))
        (plot,) = re.findall(r"<svg.*?</svg>", page, re.DOTALL)
        self.assertTrue(ElementTree.fromstring(plot).tag.endswith("svg"))

    def test_empty_report(self):
        report = BurnReport(at_ms=0.0, period="28d")
        self.assertIn("no requests", render_text(report))
        self.assertIn("</html>", render_html(report))
