"""Stand-in for the users' service that decides which workers may run a step."""

from collections.abc import Collection

from trefoilhook.http import HttpRequest, HttpResponse, HttpServer

__all__ = ["PlatformAdvice"]


class PlatformAdvice:
    """Advice service that allows the same workers for every step.

    Parameters
    ----------
    allowed : collection of str
        Ids of the workers that may run steps.

    Attributes
    ----------
    requests : list of (str, tuple of str)
        Steps and workers of the requests received.
    is_busy : bool
        Whether it rejects calls with status 429.
    """

    def __init__(self, *, allowed: Collection[str]) -> None:
        self._allowed = allowed
        self.requests: list[tuple[str, tuple[str, ...]]] = []
        self.is_busy = False
        self.server = HttpServer(handler=self._handle_request, host="127.0.0.1", port=0)

    async def _handle_request(self, request: HttpRequest) -> HttpResponse:
        if request.path != "/trefoilhook/advise":
            return HttpResponse(status=404)
        body = request.parse_json()
        self.requests.append((body["step"], tuple(body["workers"])))
        if self.is_busy:
            return HttpResponse(status=429)
        granted = [[w, f"{w}:{body['step']}"] for w in body["workers"]]
        rows = [row for row in granted if row[0] in self._allowed]
        return HttpResponse.from_json({"granted": rows, "valid_ms": 3000})
