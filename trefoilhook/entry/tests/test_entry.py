"""Contract of the callers' HTTP API."""

import math
import unittest

import trio
import uuid6

from trefoilhook.entry import build_entry_handler
from trefoilhook.http import HttpRequest
from trefoilhook.requests import (
    Attempt,
    CallerAnswer,
    ServiceSettings,
    TeamView,
    TokenVerdict,
)
from trefoilhook.results import ResultCode

_TARGET = "/v1/teams/sky/services/seats/requests"
_KEY = str(uuid6.uuid7())
_AUTH = ("Authorization", "Bearer right")
_VERDICTS = {"right": TokenVerdict.ALLOWED, "other": TokenVerdict.FORBIDDEN}


def ask(answer=None, serve=None, **changes):
    """Send one request; return the response and what reached the service."""
    seen = []

    async def answer_it(request):
        seen.append(request)
        return answer or CallerAnswer(
            code=ResultCode.OK,
            status=200,
            content_type="text/plain",
            body=b"whole",
            executor_id="exec-1",
            owner_instance_id="i2",
        )

    teams = TeamView(
        find_service=lambda team, service: ServiceSettings(),
        get_quota_per_s=lambda team: math.inf,
        check_token=lambda team, token: _VERDICTS.get(token, TokenVerdict.UNKNOWN),
    )
    handler = build_entry_handler(
        instance_id="i1", teams=teams, handle_caller=serve or answer_it
    )
    fields = {
        "method": "POST",
        "target": _TARGET,
        "headers": (_AUTH, ("Idempotency-Key", _KEY)),
        "body": b"two",
        **changes,
    }
    return trio.run(handler, HttpRequest(**fields)), seen


class EntryTest(unittest.TestCase):
    """What a caller sends and what it gets back."""

    def test_whole_answer_with_its_headers(self):
        response, seen = ask()
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(response.get_header("Trefoilhook-Result"), "0")
        self.assertEqual(response.get_header("Trefoilhook-Outcome"), "executed")
        self.assertEqual(response.get_header("Trefoilhook-Instance"), "i2")
        self.assertEqual(response.get_header("Trefoilhook-Executor"), "exec-1")
        self.assertEqual(seen[0].key.hex(), _KEY.replace("-", ""))
        self.assertEqual((seen[0].team, seen[0].service), ("sky", "seats"))

    def test_refusals_never_reach_the_service(self):
        key = ("Idempotency-Key", _KEY)
        version_4 = "6f0c0c9e-6a8f-4b5f-9d53-0d5a2f1c7f11"
        table = (
            ({"target": "/v1/teams/sky"}, ResultCode.NOT_FOUND),
            ({"method": "GET"}, ResultCode.METHOD_NOT_ALLOWED),
            ({"headers": (key,)}, ResultCode.UNAUTHENTICATED),
            (
                {"headers": (("Authorization", "Bearer wrong"),)},
                ResultCode.UNAUTHENTICATED,
            ),
            ({"headers": (("Authorization", "Bearer other"),)}, ResultCode.FORBIDDEN),
            (
                {"headers": (_AUTH, ("Idempotency-Key", "no"))},
                ResultCode.KEY_REQUIRED,
            ),
            (
                {"headers": (_AUTH, ("Idempotency-Key", version_4))},
                ResultCode.KEY_REQUIRED,
            ),
            *(
                ({"headers": (_AUTH, key, (name, value))}, ResultCode.BAD_REQUEST)
                for name, value in (
                    ("Request-Timeout-Ms", "soon"),
                    ("Request-Timeout-Ms", "nan"),
                    ("Request-Timeout-Ms", "-1"),
                    ("Request-Timeout-Ms", "inf"),
                    ("Request-Attempt", "0"),
                    ("Request-Attempt", "first"),
                )
            ),
        )
        for changes, code in table:
            with self.subTest(changes=changes):
                response, seen = ask(**changes)
                self.assertEqual(seen, [])
                self.assertEqual(response.status, code.value.http_status)
                value = response.parse_json()
                self.assertEqual(value["code"], code.number)
                self.assertEqual(value["outcome"], "not run")
                self.assertEqual(
                    response.get_header("Trefoilhook-Result"), str(code.number)
                )

    def test_headers_of_the_request_are_read(self):
        extra = (("Request-Timeout-Ms", "250"), ("Request-Attempt", "2"))
        _, seen = ask(headers=(_AUTH, ("Idempotency-Key", _KEY), *extra))
        self.assertEqual(seen[0].timeout_ms, 250.0)
        self.assertIs(seen[0].attempt, Attempt.REPEATED)

    def test_fault_in_serving_is_told_as_unknown(self):
        # A fault in the code hits one caller. It is told the truth, and the listener
        # goes on for the others.
        async def fail(request):
            raise KeyError("fault")

        response, _ = ask(serve=fail)
        self.assertEqual(response.status, 500)
        self.assertEqual(response.get_header("Trefoilhook-Outcome"), "unknown")

    def test_refused_answer_says_when_to_come_back(self):
        answer = CallerAnswer(code=ResultCode.OVERLOADED, retry_after_ms=1200.5)
        response, _ = ask(answer=answer)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.get_header("Retry-After"), "2")
        self.assertEqual(response.get_header("Retry-After-Ms"), "1201")
        self.assertEqual(response.parse_json()["retry_after_ms"], 1201)

    def test_body_of_a_failed_run_is_passed_on_whole(self):
        answer = CallerAnswer(
            code=ResultCode.BACKEND_FAILED, status=500, body=b"why it failed"
        )
        response, _ = ask(answer=answer)
        self.assertEqual((response.status, response.body), (500, b"why it failed"))
        self.assertEqual(response.get_header("Trefoilhook-Result"), "3")


if __name__ == "__main__":
    unittest.main()
