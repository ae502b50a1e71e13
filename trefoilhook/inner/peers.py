"""Addresses and reachability state of peers."""

import enum

import attrs
import trio

from trefoilhook.inner.link import Link

__all__ = ["Peer", "PeerAddress", "PeerState"]


class PeerState(enum.Enum):
    """Reachability of a peer, from the latest connection attempts.

    ``REFUSED`` and ``IDENTITY_MISMATCH`` (another instance answers at the address)
    prove that the process with that instance id has exited: it listened before its
    address was published and would still hold the port. Lost connections and timeouts
    prove nothing, because the peer may be running behind a network fault.
    """

    UP = "up"
    DOWN = "down"
    REFUSED = "refused"
    IDENTITY_MISMATCH = "stranger"


@attrs.frozen(kw_only=True)
class PeerAddress:
    """Address of a peer.

    Parameters
    ----------
    instance_id : str
        Id of the peer, unique to one run of one process.
    host : str
        IP address.
    port : int
        Port of the inter-instance protocol.
    is_seed : bool, optional
        Whether only the address is known. Any instance that answers there is accepted;
        ``instance_id`` is then a placeholder and the identity proves nothing.
    """

    instance_id: str
    host: str
    port: int
    is_seed: bool = False


@attrs.define(kw_only=True, eq=False)
class Peer:
    """A peer, the dialled link to it, and its state.

    Parameters
    ----------
    address : PeerAddress
        Address of the peer.
    disconnected_state : PeerState, optional
        State to report while no link is open.
    link : Link, optional
        Most recently opened link.
    cancel_scope : trio.CancelScope, optional
        Cancels the task that maintains the link.
    """

    address: PeerAddress
    disconnected_state: PeerState = PeerState.DOWN
    link: Link | None = None
    cancel_scope: trio.CancelScope = attrs.Factory(trio.CancelScope)

    @property
    def state(self) -> PeerState:
        """Current state of the peer."""
        return self.disconnected_state if self.open_link is None else PeerState.UP

    @property
    def open_link(self) -> Link | None:
        """The link if it is open, else None."""
        if self.link is None or not self.link.is_open:
            return None
        return self.link

    def record_connected(self, link: Link) -> None:
        """Record that a link was opened."""
        self.link = link
        self.disconnected_state = PeerState.DOWN

    def record_disconnected(self, state: PeerState) -> None:
        """Record how a connection attempt or a link ended.

        A proof that the process exited is kept when a later attempt only times out:
        the host may fail after the process, and an instance id is never reused.
        """
        self.link = None
        if state is not PeerState.DOWN:
            self.disconnected_state = state

    def record_heartbeat(self) -> None:
        """Record a heartbeat from the peer, which refutes any earlier proof of exit."""
        self.disconnected_state = PeerState.DOWN
