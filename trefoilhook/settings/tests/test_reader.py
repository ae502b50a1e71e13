"""Tests of the settings reader: accepted and refused input, and its errors."""

import json
import tempfile
import unittest
from pathlib import Path

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhook.settings import (
    BaseSettings,
    InvalidSettingsError,
    declare,
    declare_section,
    load_settings,
    parse_json,
    read_settings,
    render_page,
)

#: Data; then path, displayed value, part of the reason and nearest name of its problem.
_REFUSED = (
    ({"shard": {}}, "shard", "{}", "not a known", "shards"),
    ({"shards": {"request_shard": 4}}, "shards/request_shard", "4", "not a known", ...),
    (
        {"shards": {"request_shards": "4"}},
        "shards/request_shards",
        '"4"',
        "integer",
        "",
    ),
    (
        {"shards": {"request_shards": 4.5}},
        "shards/request_shards",
        "4.5",
        "integer",
        "",
    ),
    (
        {"shards": {"request_shards": True}},
        "shards/request_shards",
        "true",
        "integer",
        "",
    ),
    ({"shards": {"request_shards": 0}}, "shards/request_shards", "0", "between", ""),
    ({"shards": []}, "shards", "[]", "must be an object", ""),
    ({"shards": None}, "shards", "null", "must be an object", ""),
    ([], "", "[]", "must be an object", ""),
    ({"peers": "10.0.0.1"}, "peers", '"10.0.0.1"', "must be a list", ""),
    ({"peers": [{"host": "10.0.0.1"}]}, "peers/0/port", "", "is required", ""),
    ({"store": {"host": "store.example"}}, "store/host", ..., "IP address", ""),
    ({"store": {"token": 5}}, "store/token", "(hidden)", "must be a string", ""),
    ({"store": {"tokn": "s3cret"}}, "store/tokn", "(hidden)", "known", "token"),
    (
        {"admin": {"cluster_tokens": ["s3cret"]}},
        "admin/cluster_tokens",
        "(hidden)",
        "SHA-256",
        "",
    ),
    (
        {"listeners": {"entry": {"port": 7}, "admin": {"port": 7}}},
        "listeners/admin",
        '"127.0.0.1:7"',
        "another listener",
        "",
    ),
    (
        {"listeners": {"inner": {"tls": {"certificate_file": "c", "key_file": "k"}}}},
        "listeners/inner",
        "null",
        "mutual",
        "",
    ),
)

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(("store", "peers", "port", "listeners", "admin", "tls"))
            | st.text(max_size=4),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


class ReaderTest(unittest.TestCase):
    """Accepted and refused input."""

    def test_refused_with_path_value_reason_and_nearest_name(self):
        for data, path, value, reason, nearest in _REFUSED:
            with self.subTest(data=data):
                with self.assertRaises(InvalidSettingsError) as caught:
                    read_settings(BaseSettings, data)
                (problem,) = caught.exception.problems
                self.assertEqual(problem.path, path)
                self.assertIn(reason, problem.reason)
                if value is not ...:
                    self.assertEqual(problem.value, value)
                if nearest is not ...:
                    self.assertEqual(problem.nearest, nearest)
                self.assertNotIn("s3cret", str(caught.exception))

    def test_all_problems_are_listed_at_once(self):
        data = {"store": {"port": "x"}, "peers": [{}], "zzz": 1}
        with self.assertRaises(InvalidSettingsError) as caught:
            read_settings(BaseSettings, data)
        paths = {problem.path for problem in caught.exception.problems}
        wanted = {"store/port", "peers/0/host", "peers/0/port", "zzz"}
        self.assertEqual(paths, wanted)

    def test_file_is_loaded_and_missing_settings_have_defaults(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "settings.json"
            path.write_text(json.dumps({"store": {"port": 9}}))
            loaded = load_settings(BaseSettings, path)
        self.assertEqual((loaded.store.port, loaded.store.timeout_ms), (9, 1_000))

    def test_text_that_is_not_strict_json_is_refused(self):
        for text in ("", "{", '{"a":1,"a":2}', '{"a":NaN}', "[" * 100_000, b"\xff"):
            with self.subTest(text=text[:20]), self.assertRaises(InvalidSettingsError):
                parse_json(text)

    def test_missing_file_is_refused(self):
        with self.assertRaises(InvalidSettingsError):
            load_settings(BaseSettings, Path("/nonexistent/settings.json"))

    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(data=_JSON)
    def test_any_json_is_read_or_refused_with_problems(self, data):
        try:
            read_settings(BaseSettings, data)
        except InvalidSettingsError as error:
            self.assertTrue(error.problems)

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(text=st.binary(max_size=40))
    def test_any_bytes_are_parsed_or_refused(self, text):
        try:
            parse_json(text)
        except InvalidSettingsError as error:
            self.assertTrue(error.problems)


@attrs.frozen(kw_only=True)
class _Inner:
    size_bytes: int = declare(default=3, description="How large.", unit="bytes")
    names: tuple[str, ...] = declare(default=(), description="Which.")


@attrs.frozen(kw_only=True)
class _Outer:
    inner: _Inner = declare_section(_Inner, description="The inner one.")
    by_name: dict[str, _Inner] = declare(
        default=attrs.Factory(dict), description="Many."
    )


class PageTest(unittest.TestCase):
    """The reference page; the daemon's page is tested in `trefoilhook.command`."""

    def test_every_declaration_is_on_the_page(self):
        page = render_page(_Outer, header="# Title\n")
        for part in (
            "# Title\n",
            "## `inner`\n\nThe inner one.",
            "## `by_name/NAME`\n\nMany.",
            "| `size_bytes` | integer | `3` | bytes | How large. |",
            "| `names` | list of string | `[]` |  | Which. |",
        ):
            self.assertIn(part, page)
