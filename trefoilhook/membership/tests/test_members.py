"""Decoding member records from the mirror."""

import time
import unittest
from unittest import mock

import attrs

from trefoilhook.decoding.tests.odd_values import MAX_DECODING_S, build_odd_documents
from trefoilhook.logs import Event
from trefoilhook.membership import Member, MirrorEntry, decode_members, members
from trefoilhook.membership.members import MEMBERS_PREFIX, encode_member


def _build_entry(name: str, *, port: int = 1, revision: int = 1) -> MirrorEntry:
    member = Member(
        instance_id=name,
        incarnation="lease",
        host="127.0.0.1",
        port=port,
        failure_domain="a",
    )
    return MirrorEntry(
        key=MEMBERS_PREFIX + name, value=encode_member(member), revision=revision
    )


class MembersTest(unittest.TestCase):
    """Which records are decoded, and how often."""

    def test_only_changed_records_are_decoded_again(self):
        # All members are decoded after each change of the mirror. Without a cache, the
        # cost of every configuration change grows with the number of instances.
        entries = [_build_entry(f"reread-{number}") for number in range(5)]
        first = decode_members(entries, revision=1)
        changed = [*entries[:4], _build_entry("reread-4", port=2, revision=2)]
        parse = mock.patch.object(members, "parse_object", wraps=members.parse_object)
        with parse as parser:
            second = decode_members(changed, revision=2)
        self.assertEqual(parser.call_count, 1)
        self.assertEqual(first.by_id["reread-4"].port, 1)
        self.assertEqual(second.by_id["reread-4"].port, 2)
        self.assertEqual(second.revision, 2)

    def test_invalid_records_are_skipped(self):
        for value in (b"", b"{}", b"[1]", b"\xff"):
            with self.subTest(value=value):
                entry = MirrorEntry(key=MEMBERS_PREFIX + "x", value=value, revision=1)
                found = decode_members([entry, _build_entry("sound")], revision=1)
                self.assertEqual(set(found.by_id), {"sound"})

    def test_odd_record_beside_valid_ones(self):
        # Guards against one odd record that ends every instance that reads the members,
        # replaces another member, or has a port that no connection can be made to.
        valid = _build_entry("x").value
        for name, value in build_odd_documents(valid):
            entry = MirrorEntry(key=MEMBERS_PREFIX + "x", value=value, revision=1)
            with self.subTest(name):
                started_s = time.perf_counter()
                found = decode_members([entry, _build_entry("sound")], revision=1)
                self.assertLess(time.perf_counter() - started_s, MAX_DECODING_S)
                self.assertIn("sound", found)
                self.assertLessEqual(set(found.by_id), {"sound", "x"})
                if "x" in found:
                    member = found.by_id["x"]
                    self.assertIs(type(member.port), int)
                    self.assertTrue(1 <= member.port <= 65_535)
                    self.assertTrue(member.host)

    def test_record_with_the_id_of_another_member(self):
        # Guards against a record under another key that replaces that of a member.
        stolen = attrs.evolve(_build_entry("sound", port=2), key=MEMBERS_PREFIX + "x")
        found = decode_members([_build_entry("sound"), stolen], revision=1)
        self.assertEqual([member.port for member in found], [1])

    def test_odd_record_is_logged_once(self):
        # Guards against a line for the same odd record after each change of any key.
        entry = MirrorEntry(key=MEMBERS_PREFIX + "odd", value=b"[[", revision=1)
        with mock.patch.object(members, "log_event") as log:
            for revision in range(50):
                decode_members([entry], revision=revision)
        log.assert_called_once_with(Event.ENTRY_INVALID, key=entry.key, error=mock.ANY)
