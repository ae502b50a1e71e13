"""Client of the advice service, which decides on which workers a step may run."""

from trefoilhook.decoding import check_string, parse_object, read_list
from trefoilhook.exceptions import DecodeError, TransportError
from trefoilhook.http import JsonClient
from trefoilhook.platform.core import Address
from trefoilhook.scheduling import AdviceRequest, Grant

__all__ = ["AdviceClient"]

_MAX_CONNECTIONS = 1
"""The service processes the calls of an instance one at a time."""


def _decode_grants(data: bytes) -> tuple[Grant, ...]:
    """Decode a response, or refuse it as a whole.

    A partly decoded response would exclude workers permanently, as a worker that is not
    listed counts as refused.
    """
    grants: list[Grant] = []
    for row in read_list(parse_object(data), "granted"):
        if not isinstance(row, list) or len(row) < 2:
            raise DecodeError("granted: row is incomplete")
        worker_id, ticket = (check_string(part, "granted") for part in row[:2])
        grants.append(Grant(worker_id=worker_id, ticket=ticket))
    return tuple(grants)


class AdviceClient:
    """Client of the advice service.

    Parameters
    ----------
    address : (str, int)
        Address of the service.
    """

    def __init__(self, *, address: Address) -> None:
        self._client = JsonClient(address=address, max_connections=_MAX_CONNECTIONS)

    async def ask(
        self, request: AdviceRequest, *, timeout_ms: float
    ) -> tuple[Grant, ...] | None:
        """Return the workers that may run the step, or None if there was no response.

        Raises
        ------
        DecodeError
            If the response is invalid.
        """
        body = {
            "step": ".".join(str(part) for part in request.step),
            "workers": list(request.workers),
        }
        try:
            response = await self._client.send_request(
                "POST", "/trefoilhook/advise", timeout_ms=timeout_ms, body=body
            )
        except TransportError:
            return None
        return _decode_grants(response.body) if response.status == 200 else None

    async def close(self) -> None:
        """Close the idle connection."""
        await self._client.close()
