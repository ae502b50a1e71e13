"""Odd documents that another writer leaves under the key of a team."""

import json
import time
import unittest

from trefoilhook.configuration import decode_document
from trefoilhook.decoding.tests.odd_values import MAX_DECODING_S, build_odd_documents
from trefoilhook.settings import InvalidSettingsError

_DOCUMENT = {
    "subtree": {"services": {"s": {}}},
    "changes": [
        {
            "previous_revision": 1,
            "nonce": "n",
            "author": "a",
            "at_ms": 5.0,
            "action": "set",
            "path": "/services",
        }
    ],
}


class OddDocumentsTest(unittest.TestCase):
    """Documents that differ from a valid one in one place."""

    def test_odd_documents(self):
        # Guards against a document that ends every instance which follows the teams:
        # the view and the editor expect `InvalidSettingsError` only.
        for name, value in build_odd_documents(json.dumps(_DOCUMENT).encode()):
            with self.subTest(name):
                started_s = time.perf_counter()
                try:
                    found = decode_document(value)
                except InvalidSettingsError:
                    found = None
                self.assertLess(time.perf_counter() - started_s, MAX_DECODING_S)
                if found is not None:
                    self.assertIsInstance(found.subtree, dict)
                    self.assertIsInstance(found.changes, tuple)
