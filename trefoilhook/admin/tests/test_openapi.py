"""Tests that the OpenAPI description and the routes agree."""

import json
import unittest
from pathlib import Path

import trio

from trefoilhook.admin import ROUTES, build_openapi
from trefoilhook.admin.tests.fakes import CLUSTER_TOKEN, build_instance
from trefoilhook.http import HttpRequest

_PAGE = Path(__file__).parents[3] / "docs" / "openapi.json"


class OpenapiTest(unittest.TestCase):
    """Compares the page with the routes in both directions."""

    def setUp(self):
        self.page = json.loads(_PAGE.read_text(encoding="utf-8"))

    def test_page_is_current(self):
        self.assertEqual(self.page, build_openapi())

    def test_every_described_operation_is_routed(self):
        seen = []
        instance = build_instance(observe=lambda template, *_: seen.append(template))
        headers = (("authorization", f"Bearer {CLUSTER_TOKEN}"),)
        for path, operations in self.page["paths"].items():
            for method in operations:
                target = path.replace("{", "").replace("}", "")
                target = target.replace("job_id", "j").replace("instance_id", "i")
                request = HttpRequest(
                    method=method.upper(), target=target, headers=headers, body=b"1"
                )
                trio.run(instance.handler.handle, request)
                with self.subTest(path=path, method=method):
                    self.assertEqual(seen[-1].replace("...}", "}"), path)

    def test_every_route_is_described(self):
        for route in ROUTES:
            with self.subTest(route=route.template, method=route.method):
                path = route.template.replace("...}", "}")
                described = self.page["paths"][path][route.method.lower()]
                self.assertEqual(described["summary"], route.summary)

    def test_schema_references_resolve(self):
        schemas = self.page["components"]["schemas"]
        text = json.dumps(self.page)
        wanted = set(text.split('"#/components/schemas/')[1:])
        names = {part.split('"')[0] for part in wanted}
        self.assertLessEqual(names, schemas.keys())
