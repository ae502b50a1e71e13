"""The service that tells which workers a step may run on."""

from trefoilhook.exceptions import TransportError
from trefoilhook.http import JsonClient
from trefoilhook.platform.core import Address, read_object
from trefoilhook.scheduling import AdviceRequest, Grant

__all__ = ["AdviceClient"]

_MAX_CONNECTIONS = 1
"""The service handles one call of an instance at a time."""


class AdviceClient:
    """Calls to the service.

    Parameters
    ----------
    address : (str, int)
        Where it listens.
    """

    def __init__(self, *, address: Address) -> None:
        self._client = JsonClient(address=address, max_connections=_MAX_CONNECTIONS)

    async def ask(
        self, request: AdviceRequest, *, timeout_ms: float
    ) -> tuple[Grant, ...] | None:
        """Return the workers that may run the step; None when there was no answer."""
        body = {
            "step": ".".join(str(part) for part in request.step),
            "workers": list(request.workers),
        }
        try:
            response = await self._client.exchange(
                "POST", "/trefoilhook/advise", timeout_ms=timeout_ms, body=body
            )
            if response.status != 200:
                return None
            rows = read_object(response)["granted"]
            return tuple(Grant(worker_id=row[0], ticket=row[1]) for row in rows)
        except (TransportError, KeyError, IndexError, TypeError):
            return None

    async def close(self) -> None:
        """Close the idle connection."""
        await self._client.close()
