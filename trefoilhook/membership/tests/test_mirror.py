"""The mirror never reverts an entry, in whatever order changes arrive."""

import unittest

from trefoilhook.membership.mirror import Mirror, MirrorEntry, Snapshot

_KEY = "root/config/teams/carrowmore"
_OTHER = "root/members/i-1"


def _entry(revision: int, key: str = _KEY) -> MirrorEntry:
    return MirrorEntry(key=key, value=b"at %d" % revision, revision=revision)


def _fill(*entries: MirrorEntry) -> Mirror:
    mirror = Mirror()
    for entry in entries:
        mirror.apply_change(entry)
    return mirror


class MirrorTest(unittest.TestCase):
    """Changes, deletions, listings and snapshots that arrive late or out of order."""

    def test_older_changes_do_not_replace_newer_entries(self):
        # A replaced watch, a listing read before an own write and a lagging peer all
        # deliver older changes. Applied, they would revert an operator's setting.
        old = _entry(3)
        cases = {
            "change": lambda m: m.apply_change(old),
            "same change": lambda m: m.apply_change(_entry(5)),
            "deletion": lambda m: m.apply_deletion(_KEY, 4),
            "listing": lambda m: m.apply_listing([old], revision=4),
            "empty listing": lambda m: m.apply_listing([], revision=4),
            "snapshot": lambda m: m.apply_snapshot(
                Snapshot(revision=4, entries=(old,), is_whole=True)
            ),
            "part": lambda m: m.apply_snapshot(Snapshot(revision=6, entries=(old,))),
        }
        for name, apply in cases.items():
            with self.subTest(name):
                mirror = _fill(_entry(5))
                apply(mirror)
                self.assertEqual(mirror.get(_KEY), _entry(5))
                self.assertGreaterEqual(mirror.revision, 5)

    def test_older_listing_removes_no_entry(self):
        # A listing at an older revision lacks later writes. If it replaced the mirror,
        # it would remove a member that has just joined.
        mirror = _fill(_entry(3), _entry(7, _OTHER))
        self.assertFalse(mirror.apply_listing([_entry(3)], revision=6))
        self.assertEqual(mirror.get(_OTHER), _entry(7, _OTHER))
        snapshot = Snapshot(revision=6, entries=(_entry(3),), is_whole=True)
        self.assertFalse(mirror.apply_snapshot(snapshot))
        self.assertEqual(mirror.get(_OTHER), _entry(7, _OTHER))

    def test_listing_older_than_an_own_write_is_applied(self):
        # After a reset of the watch all keys are listed at revision 18. Before the
        # listing arrives, an own write at 20 is applied. Only the listing shows another
        # instance's change at 17 and a deletion, as the watch continues from 18.
        mirror = _fill(_entry(3), _entry(4, _OTHER))
        mirror.put_if_newer(_entry(20, "root/shards"))
        self.assertTrue(mirror.apply_listing([_entry(17)], revision=18))
        self.assertEqual(mirror.get(_KEY), _entry(17))
        self.assertIsNone(mirror.get(_OTHER))
        self.assertEqual(mirror.get("root/shards"), _entry(20, "root/shards"))
        self.assertEqual(mirror.revision, 17)

    def test_own_write_does_not_advance_the_revision(self):
        # An owner writes the table at 20 and loses the store before its watch delivers
        # the member that joined at 19. If it reported revision 20, the new member would
        # conclude that the owner needs its promise, and both would serve one shard. A
        # peer that applied this owner's full snapshot would drop the new member.
        mirror = _fill(_entry(3))
        mirror.put_if_newer(_entry(20, "root/shards"))
        self.assertEqual(mirror.revision, 3)
        peer = _fill(_entry(2), _entry(19, _OTHER))
        self.assertFalse(peer.apply_snapshot(mirror.build_snapshot(after_revision=0)))
        self.assertEqual(peer.get(_OTHER), _entry(19, _OTHER))
        late = _fill(_entry(2))
        self.assertTrue(late.apply_snapshot(mirror.build_snapshot(after_revision=2)))
        self.assertEqual(late.get("root/shards"), _entry(20, "root/shards"))
        self.assertEqual(late.revision, 3)

    def test_late_change_does_not_restore_deleted_key(self):
        # A team is deleted, and an earlier change arrives late from a peer or a
        # replaced watch. Applied, it would put the team back in force.
        for name, apply in {
            "deletion": lambda m: m.apply_deletion(_KEY, 6),
            "listing without it": lambda m: m.apply_listing([], revision=6),
            "whole snapshot without it": lambda m: m.apply_snapshot(
                Snapshot(revision=6, entries=(), is_whole=True)
            ),
            "part with its deletion": lambda m: m.apply_snapshot(
                Snapshot(revision=6, entries=(), deleted_keys=(_KEY,))
            ),
        }.items():
            with self.subTest(name):
                mirror = _fill(_entry(4))
                apply(mirror)
                self.assertIsNone(mirror.get(_KEY))
                self.assertFalse(mirror.apply_change(_entry(5)))
                self.assertIsNone(mirror.get(_KEY))
                self.assertTrue(mirror.apply_change(_entry(8)))
                self.assertEqual(mirror.get(_KEY), _entry(8))

    def test_snapshot_after_a_revision_brings_a_peer_up_to_date(self):
        # A peer requests the changes since its own revision. They include deletions;
        # if the tombstones do not reach back that far, all entries are sent.
        mirror = _fill(_entry(2), _entry(3, _OTHER))
        peer = _fill(_entry(2), _entry(3, _OTHER))
        mirror.apply_deletion(_OTHER, 4)
        mirror.apply_change(_entry(5))
        part = mirror.build_snapshot(after_revision=peer.revision)
        self.assertFalse(part.is_whole)
        peer.apply_snapshot(part)
        self.assertEqual(peer.entries, mirror.entries)
        self.assertEqual(peer.revision, mirror.revision)
        for number in range(1_200):
            mirror.apply_deletion(f"root/members/{number}", 10 + number)
        self.assertTrue(mirror.build_snapshot(after_revision=5).is_whole)
        self.assertTrue(mirror.build_snapshot(after_revision=0).is_whole)
        self.assertFalse(mirror.build_snapshot(after_revision=1_200).is_whole)
