"""Limit on the idle connections of several clients together."""

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from trefoilhook.http.client import Connection

__all__ = ["IdleLimit"]


@attrs.define(kw_only=True)
class IdleLimit:
    """Limits the idle connections of all clients that share it, in LRU order.

    Each client keeps as many connections open as it needed at its peak. With thousands
    of clients, these would exhaust the file descriptors of the process.

    Parameters
    ----------
    max_connections : int
        Maximum number of idle connections.
    """

    max_connections: int
    _pools: "dict[Connection, deque[Connection]]" = attrs.Factory(dict)

    def add(
        self, connection: "Connection", pool: "deque[Connection]"
    ) -> "Connection | None":
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

    def discard(self, connection: "Connection") -> None:
        """Remove a connection that is in use again or closed."""
        self._pools.pop(connection, None)
