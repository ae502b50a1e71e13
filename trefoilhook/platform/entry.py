"""Messages between the platform's clients and an instance, except for jobs."""

import math

from trefoilhook.http import HttpRequest, HttpResponse

__all__ = [
    "READINESS_PATH",
    "build_pending_response",
    "build_state_response",
    "read_client_timeout",
]

READINESS_PATH = "/trefoilhook/readyz"


def build_state_response(state: str) -> HttpResponse:
    """Build the response with the state of a job."""
    return HttpResponse.from_json({"state": state})


def build_pending_response(count: int) -> HttpResponse:
    """Build the response with the number of jobs of a queue that have not started."""
    return HttpResponse.from_json({"pending": count})


def read_client_timeout(request: HttpRequest, *, default_ms: float) -> float:
    """Return the client's timeout in ms, or the default if it is not a finite number.

    No time compares as later than ``nan``, so a request with such a timeout would be
    retried forever.
    """
    text = request.get_header("deadline-ms")
    try:
        value = float(text) if text else default_ms
    except ValueError:
        return default_ms
    return value if math.isfinite(value) else default_ms
