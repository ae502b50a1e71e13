"""Client of the platform's instance list.

The only module that implements the protocol of the list, HTTP/1.1 with JSON bodies,
which is described in ``docs/INTERFACES.md``.
"""

from trefoilhook.clock import Clock
from trefoilhook.exceptions import AnswerLostError
from trefoilhook.exchange import PlatformClient, decode_response
from trefoilhook.instances.core import BackendSnapshot

__all__ = ["InstanceListClient"]


class InstanceListClient:
    """Client of the instance list.

    Parameters
    ----------
    host : str
        IP address of the list.
    port : int
        Port of the list.
    clock : Clock
        Time source.
    timeout_ms : float
        Timeout of one request, in ms.
    token : str, optional
        Bearer token sent with each request.
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

    async def list_backends(self) -> BackendSnapshot:
        """Return all executors and workers.

        Raises
        ------
        TransportError
            If the request failed or the response is invalid.

        Notes
        -----
        The list lags behind the actual state: it may contain instances that no longer
        exist, omit new ones, and report instances that are shutting down as live.
        """
        response = await self._platform.send_request("GET", "/v1/instances")
        if response.status != 200:
            raise AnswerLostError(f"instance list returned status {response.status}")
        return decode_response(response, BackendSnapshot)

    async def close(self) -> None:
        """Close all idle connections."""
        await self._platform.close()
