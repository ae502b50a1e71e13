"""What passes between the platform's clients and an instance, besides jobs."""

import math

from trefoilhook.http import HttpRequest, HttpResponse

__all__ = [
    "READINESS_PATH",
    "answer_pending",
    "answer_state",
    "read_client_timeout",
]

READINESS_PATH = "/trefoilhook/readyz"


def answer_state(state: str) -> HttpResponse:
    """Tell the state of a job."""
    return HttpResponse.from_json({"state": state})


def answer_pending(count: int) -> HttpResponse:
    """Tell how many jobs of a queue wait for the start of their first task."""
    return HttpResponse.from_json({"pending": count})


def read_client_timeout(request: HttpRequest, *, default_ms: float) -> float:
    """Return how long the client waits for the answer, in ms.

    What is no finite number has the default: no time is ever past ``nan``, so that a
    request would be tried again for good.
    """
    text = request.get_header("deadline-ms")
    try:
        value = float(text) if text else default_ms
    except ValueError:
        return default_ms
    return value if math.isfinite(value) else default_ms
