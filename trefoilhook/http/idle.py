"""Limit on the idle connections of several clients together."""

from collections import deque
from typing import Generic, TypeVar

import attrs

__all__ = ["IdleLimit"]

_Connection = TypeVar("_Connection")


@attrs.define(kw_only=True)
class IdleLimit(Generic[_Connection]):
    """Limits the idle connections of all clients that share it, in LRU order.

    Each client keeps as many connections open as it needed at its peak. With thousands
    of clients, these would exhaust the file descriptors of the process.

    Parameters
    ----------
    max_connections : int
        Maximum number of idle connections.
    """

    max_connections: int
    _pools: dict[_Connection, deque[_Connection]] = attrs.Factory(dict)

    def add(
        self, connection: _Connection, pool: deque[_Connection]
    ) -> _Connection | None:
        """Add an idle connection of a client's pool.

        Returns
        -------
        Connection or None
            The least recently used connection, which has been removed from its pool and
            has to be closed, if the limit is exceeded.
        """
        self._pools[connection] = pool
        if len(self._pools) <= self.max_connections:
            return None
        oldest = next(iter(self._pools))
        self._pools.pop(oldest).remove(oldest)
        return oldest

    def discard(self, connection: _Connection) -> None:
        """Remove a connection that is in use again or closed."""
        self._pools.pop(connection, None)
