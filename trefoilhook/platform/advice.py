"""The service that tells which workers a step may run on."""

from trefoilhook.decoding import check_text, parse_table, read_list
from trefoilhook.exceptions import DecodeError, TransportError
from trefoilhook.http import JsonClient
from trefoilhook.platform.core import Address
from trefoilhook.scheduling import AdviceRequest, Grant

__all__ = ["AdviceClient"]

_MAX_CONNECTIONS = 1
"""The service handles one call of an instance at a time."""


def _decode_grants(data: bytes) -> tuple[Grant, ...]:
    """Decode an answer, as a whole: who isn't in it counts as refused for good."""
    grants: list[Grant] = []
    for row in read_list(parse_table(data), "granted"):
        if not isinstance(row, list) or len(row) < 2:
            raise DecodeError("granted: not a whole row")
        worker_id, ticket = (check_text(part, "granted") for part in row[:2])
        grants.append(Grant(worker_id=worker_id, ticket=ticket))
    return tuple(grants)


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
        """Return the workers that may run the step; None when there was no answer.

        Raises
        ------
        DecodeError
            If the answer can't be read.
        """
        body = {
            "step": ".".join(str(part) for part in request.step),
            "workers": list(request.workers),
        }
        try:
            response = await self._client.exchange(
                "POST", "/trefoilhook/advise", timeout_ms=timeout_ms, body=body
            )
        except TransportError:
            return None
        return _decode_grants(response.body) if response.status == 200 else None

    async def close(self) -> None:
        """Close the idle connection."""
        await self._client.close()
