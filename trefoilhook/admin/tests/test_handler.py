"""Tests of the admin API's handler."""

import json
import unittest

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhook.admin.tests.fakes import CLUSTER_TOKEN, build_instance
from trefoilhook.configuration import digest_token
from trefoilhook.exceptions import StoreUnavailableError
from trefoilhook.http import HttpRequest
from trefoilhook.results import ResultCode

_A = "/v1/config/teams/a"
_B = "/v1/config/teams/b"
_ROSTER = {"name": "roster", "job_id": "j-1"}

#: Token, method, target, body and expected code of calls sent in order to one instance.
_CALLS = (
    (None, "GET", "/healthz", None, "OK"),
    (None, "GET", "/readyz", None, "OK"),
    (None, "GET", "/metrics", None, "OK"),
    (None, "GET", "/v1/status", None, "UNAUTHENTICATED"),
    ("wrong", "GET", "/v1/status", None, "UNAUTHENTICATED"),
    ("", "GET", "/v1/status", None, "UNAUTHENTICATED"),
    ("op-a", "GET", "/v1/status", None, "OK"),
    ("caller-a", "GET", "/v1/status", None, "UNAUTHENTICATED"),
    (CLUSTER_TOKEN, "GET", "/v1/status", None, "OK"),
    ("op-a", "GET", _A, None, "OK"),
    ("op-a", "GET", _B, None, "FORBIDDEN"),
    ("op-a", "PUT", f"{_B}/quota/cores", 1, "FORBIDDEN"),
    ("op-b", "PUT", f"{_A}/quota/cores", 1, "FORBIDDEN"),
    (CLUSTER_TOKEN, "PUT", f"{_B}/quota/cores", 1, "OK"),
    ("op-a", "PUT", f"{_A}/quota/cores", 4, "FORBIDDEN"),
    ("op-a", "PUT", _A, {"quota": {"cores": 9}}, "FORBIDDEN"),
    (CLUSTER_TOKEN, "PUT", f"{_A}/quota/cores", 4, "OK"),
    ("op-a", "PUT", f"{_A}/placement/preset", "throughput-first", "OK"),
    ("op-a", "PUT", f"{_A}/quota/cores?revision=1", 4, "CONFLICT"),
    ("op-a", "PUT", f"{_A}/quota/cores?revision=x", 4, "BAD_REQUEST"),
    (CLUSTER_TOKEN, "PUT", f"{_A}/quota/cores", -4, "INVALID_SETTING"),
    (CLUSTER_TOKEN, "PUT", f"{_A}/quota/core", 4, "INVALID_SETTING"),
    ("op-a", "PUT", f"{_A}/quota/cores", b"{", "INVALID_SETTING"),
    ("op-a", "PUT", f"{_A}/quota//cores", 4, "BAD_REQUEST"),
    ("op-a", "GET", f"{_A}/quota/cores", None, "OK"),
    ("op-a", "GET", f"{_A}/quota/nothing", None, "NOT_FOUND"),
    ("op-a", "POST", f"{_A}/quota/cores", 4, "METHOD_NOT_ALLOWED"),
    ("op-a", "POST", f"{_A}/validate?path=quota/cores", -1, "INVALID_SETTING"),
    ("op-a", "POST", f"{_A}/validate?path=quota/cores", 1, "OK"),
    ("op-a", "GET", f"{_A}/history", None, "OK"),
    ("op-a", "DELETE", f"{_A}/quota/cores", None, "FORBIDDEN"),
    (CLUSTER_TOKEN, "DELETE", f"{_A}/quota/cores", None, "OK"),
    (CLUSTER_TOKEN, "DELETE", f"{_A}/quota/cores", None, "NOT_FOUND"),
    (CLUSTER_TOKEN, "GET", "/v1/config/teams/nobody", None, "NOT_FOUND"),
    (CLUSTER_TOKEN, "GET", "/v1/config/teams/No%20Body", None, "BAD_REQUEST"),
    ("op-a", "GET", "/v1/config/wait?revision=5", None, "OK"),
    ("op-a", "GET", "/v1/config/wait?revision=5000", None, "STALE_REVISION"),
    ("op-a", "GET", "/v1/config/wait", None, "BAD_REQUEST"),
    ("op-a", "POST", "/v1/teams/a/jobs", _ROSTER, "ACCEPTED"),
    ("op-a", "POST", "/v1/teams/a/jobs", _ROSTER, "ACCEPTED"),
    ("op-a", "POST", "/v1/teams/a/jobs", {"nam": "x"}, "BAD_REQUEST"),
    ("op-b", "POST", "/v1/teams/a/jobs", _ROSTER, "FORBIDDEN"),
    ("op-a", "GET", "/v1/teams/a/jobs?limit=2", None, "OK"),
    ("op-a", "GET", "/v1/teams/a/jobs?limit=0", None, "BAD_REQUEST"),
    ("op-a", "GET", "/v1/teams/a/jobs/j-1", None, "OK"),
    ("op-a", "GET", "/v1/teams/a/watchers/j-1", None, "NOT_FOUND"),
    ("op-a", "GET", "/v1/teams/a/jobs/j-2", None, "NOT_FOUND"),
    ("op-a", "GET", "/v1/teams/a/jobs/j-1/explain", None, "OK"),
    ("op-a", "DELETE", "/v1/teams/a/jobs/j-1", None, "ACCEPTED"),
    ("op-a", "DELETE", "/v1/teams/a/jobs/j-2", None, "NOT_FOUND"),
    ("op-a", "POST", "/v1/teams/a/jobs/cancel", {"job_ids": ["j-1"]}, "ACCEPTED"),
    ("op-a", "POST", "/v1/teams/a/jobs/cancel", {"job_ids": []}, "BAD_REQUEST"),
    ("op-a", "POST", "/v1/instances/i-1/drain", None, "FORBIDDEN"),
    (CLUSTER_TOKEN, "POST", "/v1/instances/i-1/drain", None, "ACCEPTED"),
    ("op-a", "POST", "/v1/instances/i-1/gone", None, "FORBIDDEN"),
    (CLUSTER_TOKEN, "POST", "/v1/instances/i-1/gone", None, "ACCEPTED"),
    ("op-a", "GET", "/v1/burn", None, "OK"),
    ("op-a", "GET", "/v1/burn?team=b", None, "FORBIDDEN"),
    ("op-a", "GET", "/v1/nothing", None, "NOT_FOUND"),
    ("op-a", "GET", "//[v1", None, "BAD_REQUEST"),
)


def _build_request(method, target, *, token=None, body=None, headers=()):
    if token is not None:
        headers = (*headers, ("authorization", f"Bearer {token}"))
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return HttpRequest(method=method, target=target, headers=headers, body=raw)


class HandlerTest(unittest.TestCase):
    """Result codes, authorisation, concurrency control and robustness."""

    def setUp(self):
        self.instance = build_instance()
        for team in ("a", "b"):
            tokens = {
                "operators": [digest_token(f"op-{team}")],
                "callers": [digest_token(f"caller-{team}")],
            }
            self.call(CLUSTER_TOKEN, "PUT", f"/v1/config/teams/{team}/tokens", tokens)

    def call(self, token, method, target, body=None, headers=()):
        request = _build_request(
            method, target, token=token, body=body, headers=headers
        )
        return trio.run(self.instance.handler.handle, request)

    def test_calls_return_expected_codes(self):
        for token, method, target, body, name in _CALLS:
            with self.subTest(call=f"{token} {method} {target}"):
                response = self.call(token, method, target, body)
                code = ResultCode[name]
                self.assertEqual(response.status, code.value.http_status)
                if response.status >= 400:
                    error = response.parse_json()["error"]
                    self.assertEqual((error["number"], error["name"]),
                                     (code.number, name))  # fmt: skip

    def test_change_of_outdated_revision_is_refused(self):
        path = f"{_A}/quota/cores"
        first = self.call(CLUSTER_TOKEN, "PUT", path, 1)
        etag = (("if-match", first.get_header("etag")),)
        second = self.call(CLUSTER_TOKEN, "PUT", path, 2, headers=etag)
        self.assertEqual(second.status, 200)
        third = self.call(CLUSTER_TOKEN, "PUT", path, 3, headers=etag)
        standing = third.parse_json()["error"]["standing"]
        self.assertEqual(standing["value"], 2)
        self.assertEqual(standing["revision"], second.parse_json()["revision"])

    def test_tokens_rotate_without_restart(self):
        # Guards against locking out an operator while a token is replaced: the new
        # token must be valid before the old one is removed, and the old one must be
        # invalid afterwards.
        path = f"{_A}/tokens/operators"
        old, new = digest_token("op-a"), digest_token("op-new")
        self.assertEqual(self.call("op-a", "PUT", path, [old, new]).status, 200)
        self.assertEqual(self.call("op-a", "GET", _A).status, 200)
        self.assertEqual(self.call("op-new", "PUT", path, [new]).status, 200)
        self.assertEqual(self.call("op-a", "GET", _A).status, 401)
        self.assertEqual(self.call("op-new", "GET", _A).status, 200)

    def test_configuration_is_readable_while_store_is_down(self):
        # During a store outage, operators must still be able to read the configuration
        # in force, which the instance holds and serves requests by.
        self.call(CLUSTER_TOKEN, "PUT", f"{_A}/quota/cores", 4)
        self.instance.store.is_down = True
        answer = self.call("op-a", "GET", f"{_A}/quota/cores").parse_json()
        self.assertEqual((answer["value"], answer["is_from_store"]), (4, False))
        refused = self.call(CLUSTER_TOKEN, "PUT", f"{_A}/quota/cores", 5)
        self.assertEqual(refused.parse_json()["error"]["outcome"], "not run")

    def test_internal_errors_are_answered_without_details(self):
        cases = ((RuntimeError("secret"), 500), (StoreUnavailableError("down"), 503))
        for error, status in cases:
            self.instance.backend.error = error
            response = self.call("op-a", "GET", "/v1/status")
            self.assertEqual(response.status, status)
            self.assertNotIn(b"secret", response.body)

    def test_readiness_fails_while_leaving(self):
        self.instance.backend.is_ready = False
        response = self.call(None, "GET", "/readyz")
        self.assertEqual(response.status, 503)
        self.assertIn("leaving", response.parse_json()["error"]["detail"])

    def test_pagination_returns_every_job_once(self):
        for number in range(5):
            body = {"name": "n", "job_id": f"j-{number}"}
            self.call("op-a", "POST", "/v1/teams/a/watchers", body)
        seen, after = [], ""
        while True:
            target = f"/v1/teams/a/watchers?limit=2&after={after}"
            page = self.call("op-a", "GET", target).parse_json()
            seen += [job["job_id"] for job in page["jobs"]]
            after = page["next_after"]
            if not after:
                break
        self.assertEqual(seen, [f"j-{number}" for number in range(5)])

    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(
        method=st.sampled_from(("GET", "PUT", "POST", "DELETE", "PATCH", "")),
        steps=st.lists(
            st.sampled_from(
                ("v1", "config", "teams", "a", "jobs", "wait", "history", "validate")
                + ("cancel", "explain", "burn", "%2F", "%ff", "..", "//[", "?", "")
            )
            | st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=5),
            max_size=7,
        ),
        query=st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=20),
        body=st.binary(max_size=20)
        | st.sampled_from((b"{}", b"[]", b"1", b'{"name":"x"}', b"null")),
        token=st.sampled_from((CLUSTER_TOKEN, "op-a", "", None)) | st.text(max_size=4),
        if_match=st.text(max_size=5) | st.none(),
    )
    def test_arbitrary_request_causes_no_server_error(
        self, method, steps, query, body, token, if_match
    ):
        headers = () if if_match is None else (("if-match", if_match),)
        target = "/" + "/".join(steps) + "?" + query
        request = _build_request(
            method, target, token=token, body=body, headers=headers
        )
        response = trio.run(self.instance.handler.handle, request)
        self.assertLess(response.status, 500, response.body)
