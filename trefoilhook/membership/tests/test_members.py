"""Decoding member records from the mirror."""

import unittest
from unittest import mock

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
        with mock.patch.object(members, "json", wraps=members.json) as parser:
            second = decode_members(changed, revision=2)
        self.assertEqual(parser.loads.call_count, 1)
        self.assertEqual(first.by_id["reread-4"].port, 1)
        self.assertEqual(second.by_id["reread-4"].port, 2)
        self.assertEqual(second.revision, 2)

    def test_invalid_records_are_skipped(self):
        for value in (b"", b"{}", b"[1]", b"\xff"):
            with self.subTest(value=value):
                entry = MirrorEntry(key=MEMBERS_PREFIX + "x", value=value, revision=1)
                found = decode_members([entry, _build_entry("sound")], revision=1)
                self.assertEqual(set(found.by_id), {"sound"})
