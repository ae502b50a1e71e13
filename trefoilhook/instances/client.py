"""Adapter to the platform's instance list.

The only module that knows how the list is spoken to: HTTP/1.1 with JSON bodies,
described in ``docs/INTERFACES.md``.
"""

from trefoilhook.clock import Clock
from trefoilhook.exceptions import AnswerLostError
from trefoilhook.exchange import PlatformClient, decode_answer
from trefoilhook.instances.core import BackendPage

__all__ = ["InstanceListClient"]


class InstanceListClient:
    """Calls to the instance list.

    Parameters
    ----------
    host : str
        Address of the list, an IP number.
    port : int
        Port of the list.
    clock : Clock
        Where time comes from.
    timeout_ms : float
        Longest time for one call, in ms.
    token : str, optional
        Bearer token sent with each call.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        clock: Clock,
        timeout_ms: float,
        token: str | None = None,
    ) -> None:
        self._clock = clock
        self._platform = PlatformClient(
            host=host,
            port=port,
            timeout_ms=timeout_ms,
            token=token,
            max_connections=2,
        )

    async def list_backends(self) -> BackendPage:
        """Return all executors and workers.

        Raises
        ------
        TransportError
            If no readable answer came.

        Notes
        -----
        The list lags: an instance on it may be gone, a new one may be missing, and
        one that is leaving may still look live.
        """
        response = await self._platform.exchange("GET", "/v1/instances")
        if response.status != 200:
            raise AnswerLostError(f"the instance list answered {response.status}")
        return decode_answer(response, BackendPage)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._platform.close()
