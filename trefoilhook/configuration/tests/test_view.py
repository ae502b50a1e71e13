"""Tests of the view: the configuration in force for any order of entries."""

import unittest

import attrs

from trefoilhook.configuration import (
    ConfigurationView,
    TeamDocument,
    build_team_key,
    digest_token,
    encode_document,
    matches_any_digest,
)

_ROOT = "root"


@attrs.frozen(kw_only=True)
class _Entry:
    key: str
    value: bytes
    revision: int


def _build_entry(revision, *, timeout_ms=1_000, is_deleted=False, team="bookings"):
    subtree = {"services": {"seat-check": {"timeout_ms": timeout_ms}}}
    document = TeamDocument(subtree=subtree, is_deleted=is_deleted)
    key = build_team_key(_ROOT, team)
    return _Entry(key=key, value=encode_document(document), revision=revision)


def _read_timeout(view):
    team = view.get_team("bookings")
    return None if team is None else team.services["seat-check"].timeout_ms


class ViewTest(unittest.TestCase):
    """Revisions never decrease and invalid values are never applied."""

    def test_older_entries_never_replace_newer_ones(self):
        # Guards against a setting that reverts because entries are applied in order of
        # arrival: a stalled watch, a lagging peer or a restarted store may supply an
        # older value after a newer one.
        new, old = _build_entry(9, timeout_ms=900), _build_entry(5, timeout_ms=500)
        for order in ((new, old), (old, new), (new, old, new, old)):
            with self.subTest(order=[entry.revision for entry in order]):
                view = ConfigurationView(root=_ROOT)
                view.apply(order)
                self.assertEqual(_read_timeout(view), 900)
                self.assertEqual(view.find_revision("bookings"), 9)
                self.assertEqual(view.revision, 9)

    def test_deleted_teams_stay_deleted(self):
        # Guards against a removed team being served again: a snapshot taken before the
        # removal arrives from a peer after it.
        for remove in (
            lambda view: view.apply_deletion(
                build_team_key(_ROOT, "bookings"), revision=7
            ),
            lambda view: view.apply([_build_entry(7, is_deleted=True)]),
        ):
            view = ConfigurationView(root=_ROOT)
            view.apply([_build_entry(5)])
            self.assertTrue(remove(view))
            self.assertIsNone(view.get_team("bookings"))
            self.assertEqual(view.apply([_build_entry(5)]), ())
            self.assertIsNone(view.get_team("bookings"))
            self.assertEqual(view.apply([_build_entry(8)]), ("bookings",))
            self.assertEqual(view.list_teams(), ("bookings",))

    def test_invalid_values_never_replace_valid_ones(self):
        # Guards against an undecodable value of another program being applied as an
        # empty configuration, by which all requests of the team would be refused.
        invalid = (b"", b"{}x", b'{"subtree":{"services":1}}', b"[]", b'{"subtre":{}}')
        for value in invalid:
            with self.subTest(value=value):
                view = ConfigurationView(root=_ROOT)
                view.apply([_build_entry(5, timeout_ms=500)])
                key = build_team_key(_ROOT, "bookings")
                view.apply([_Entry(key=key, value=value, revision=6)])
                self.assertEqual(_read_timeout(view), 500)
                self.assertEqual(view.find_revision("bookings"), 5)

    def test_entries_of_other_kinds_are_ignored(self):
        view = ConfigurationView(root=_ROOT)
        for key in ("root/members/a", "root/config/teams/A b", "root/config/teams/a/b"):
            self.assertEqual(view.apply([_Entry(key=key, value=b"", revision=3)]), ())
        self.assertEqual(view.revision, 0)


class TokensTest(unittest.TestCase):
    """Token digests."""

    def test_any_of_several_tokens_is_covered(self):
        digests = (digest_token("old"), digest_token("new"))
        cases = (("old", True), ("new", True), ("other", False), ("", False))
        for token, is_covered in cases:
            with self.subTest(token=token):
                self.assertEqual(matches_any_digest(token, digests), is_covered)
        self.assertFalse(matches_any_digest("new", ()))
