"""Items of the store that no reader can use, beside good ones."""

import base64
import unittest
from typing import Any

from trefoilhook.decoding import read_list
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs.tests.lines import capture_lines, count_lines
from trefoilhook.platform.store_codec import decode_changes, decode_item, decode_page

_GOOD = {"key": "servers/a", "value": base64.b64encode(b"{}").decode(), "revision": 3}
_ODD_VALUES: tuple[Any, ...] = ("{}", "e30", "a\ud800", "\u0661", None, 7, [], {})
_ODD_KEYS = ("servers/\ud800", "\udfff")


class OddItemsTest(unittest.TestCase):
    """One odd item in each kind of answer."""

    def test_value_that_is_no_base64(self):
        # Guards against one value that withholds the whole list from every reader: the
        # entries of all workers would be unknown for as long as it stays there.
        for value in _ODD_VALUES:
            with self.subTest(value=ascii(value)):
                odd = {**_GOOD, "key": "servers/b", "value": value}
                self.assertEqual(decode_item(odd).value, b"")
                rows = [_GOOD, odd, {**_GOOD, "key": "servers/c"}]
                items, _, _ = decode_page({"items": rows, "as_of": 3})
                self.assertEqual([item.value for item in items], [b"{}", b"", b"{}"])
                changes = decode_changes({"events": rows, "as_of": 3}).changes
                self.assertEqual(
                    [change.key[-1] for change in changes], ["a", "b", "c"]
                )

    def test_key_that_is_no_unicode(self):
        # Guards against one key that withholds the whole list from every reader.
        for key in _ODD_KEYS:
            with self.subTest(key=ascii(key)), capture_lines() as lines:
                rows = [_GOOD, {**_GOOD, "key": key}]
                items, _, _ = decode_page({"items": rows, "as_of": 3, "has_more": True})
                self.assertEqual([item.key for item in items], ["servers/a"])
                deleted = {"key": key, "revision": 4, "deleted": True}
                found = decode_changes({"events": [deleted, *rows], "as_of": 4})
                self.assertEqual([each.key for each in found.changes], ["servers/a"])
                self.assertEqual(found.as_of, 4)
                self.assertEqual(count_lines(lines), {"ENTRY_INVALID": 3})

    def test_page_of_odd_keys_ends_no_listing(self):
        # Guards against a listing that is taken as complete at a page of odd keys: the
        # workers on the pages after it would count as gone.
        rows = [{**_GOOD, "key": key} for key in _ODD_KEYS]
        with self.assertRaises(DecodeError):
            decode_page({"items": rows, "as_of": 3, "has_more": True})
        items, _, has_more = decode_page({"items": rows, "as_of": 3})
        self.assertEqual((items, has_more), ([], False))

    def test_rows_that_are_no_items(self):
        # Rows of another shape come from no writer, but from an answer that is broken.
        for row in (None, 1, [], "item", {}, {"key": 1}, {**_GOOD, "revision": "3"}):
            for decode, name in ((decode_page, "items"), (decode_changes, "events")):
                table = {name: [_GOOD, row], "as_of": 3}
                self.assertEqual(len(read_list(table, name)), 2)
                with self.subTest(row=row, name=name), self.assertRaises(DecodeError):
                    decode(table)
