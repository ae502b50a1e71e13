"""What passes between the platform's clients and an instance, besides jobs."""

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
    """Return how long the client waits for the answer, in ms."""
    text = request.get_header("deadline-ms")
    try:
        return float(text) if text else default_ms
    except ValueError:
        return default_ms
