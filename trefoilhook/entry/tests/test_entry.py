"""HTTP API for callers."""

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
    TokenCheckResult,
)
from trefoilhook.results import ResultCode

_TARGET = "/v1/teams/sky/services/seats/requests"
_KEY = str(uuid6.uuid7())
_AUTH = ("Authorization", "Bearer right")
_VERDICTS = {"right": TokenCheckResult.ALLOWED, "other": TokenCheckResult.FORBIDDEN}


def send_request(answer=None, serve=None, **changes):
    """Send a request; return the response and the requests passed to the handler."""
    seen = []

    async def return_answer(request):
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
        check_token=lambda team, token: _VERDICTS.get(token, TokenCheckResult.UNKNOWN),
    )
    handler = build_entry_handler(
        instance_id="i1", teams=teams, handle_request=serve or return_answer
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
    """Requests from callers and the responses to them."""

    def test_response_body_and_headers(self):
        response, seen = send_request()
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(response.get_header("Trefoilhook-Result"), "0")
        self.assertEqual(response.get_header("Trefoilhook-Outcome"), "executed")
        self.assertEqual(response.get_header("Trefoilhook-Instance"), "i2")
        self.assertEqual(response.get_header("Trefoilhook-Executor"), "exec-1")
        self.assertEqual(seen[0].key.hex(), _KEY.replace("-", ""))
        self.assertEqual((seen[0].team, seen[0].service), ("sky", "seats"))

    def test_rejected_requests_are_not_passed_to_the_handler(self):
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
                response, seen = send_request(**changes)
                self.assertEqual(seen, [])
                self.assertEqual(response.status, code.value.http_status)
                value = response.parse_json()
                self.assertEqual(value["code"], code.number)
                self.assertEqual(value["outcome"], "not run")
                self.assertEqual(
                    response.get_header("Trefoilhook-Result"), str(code.number)
                )

    def test_request_headers_are_parsed(self):
        extra = (("Request-Timeout-Ms", "250"), ("Request-Attempt", "2"))
        _, seen = send_request(headers=(_AUTH, ("Idempotency-Key", _KEY), *extra))
        self.assertEqual(seen[0].timeout_ms, 250.0)
        self.assertIs(seen[0].attempt, Attempt.REPEATED)

    def test_handler_exception_is_reported_as_unknown_outcome(self):
        # The handler raises an unexpected exception. The caller must receive an error
        # with an unknown outcome, and the listener must keep running.
        async def fail(request):
            raise KeyError("fault")

        response, _ = send_request(serve=fail)
        self.assertEqual(response.status, 500)
        self.assertEqual(response.get_header("Trefoilhook-Outcome"), "unknown")

    def test_refused_request_carries_retry_delay(self):
        answer = CallerAnswer(code=ResultCode.OVERLOADED, retry_after_ms=1200.5)
        response, _ = send_request(answer=answer)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.get_header("Retry-After"), "2")
        self.assertEqual(response.get_header("Retry-After-Ms"), "1201")
        self.assertEqual(response.parse_json()["retry_after_ms"], 1201)

    def test_body_of_a_failed_run_is_returned_unchanged(self):
        answer = CallerAnswer(
            code=ResultCode.BACKEND_FAILED, status=500, body=b"why it failed"
        )
        response, _ = send_request(answer=answer)
        self.assertEqual((response.status, response.body), (500, b"why it failed"))
        self.assertEqual(response.get_header("Trefoilhook-Result"), "3")


if __name__ == "__main__":
    unittest.main()
