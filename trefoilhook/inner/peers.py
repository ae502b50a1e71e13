"""What is known about each peer."""

import enum

import attrs
import trio

from trefoilhook.inner.link import Link

__all__ = ["Peer", "PeerAddress", "PeerState"]


class PeerState(enum.Enum):
    """What the last attempts to reach a peer have shown.

    ``REFUSED`` and ``STRANGER`` prove that the process with that instance id is dead:
    it listened before its address was published and would still hold the port.
    Silence and timeouts prove nothing: the peer may act behind a broken network.
    """

    UP = "up"
    DOWN = "down"
    REFUSED = "refused"
    STRANGER = "stranger"


@attrs.frozen(kw_only=True)
class PeerAddress:
    """Where a peer listens.

    Parameters
    ----------
    instance_id : str
        Unique to one run of one process.
    host : str
        IP number.
    port : int
        Port of the inner protocol.
    is_seed : bool, optional
        Only the address is known: whoever answers there is the peer. The instance id
        is then a name of its own choosing, and nothing is proved by who answers.
    """

    instance_id: str
    host: str
    port: int
    is_seed: bool = False


@attrs.define(kw_only=True, eq=False)
class Peer:
    """A peer, the own link to it, and what is known about it.

    Parameters
    ----------
    address : PeerAddress
        Where it listens.
    evidence : PeerState, optional
        What the attempts have shown, apart from a link that is open.
    link : Link, optional
        The last link that came up.
    scope : trio.CancelScope, optional
        Ends the task that keeps the link.
    """

    address: PeerAddress
    evidence: PeerState = PeerState.DOWN
    link: Link | None = None
    scope: trio.CancelScope = attrs.Factory(trio.CancelScope)

    @property
    def state(self) -> PeerState:
        """What is known about the peer now."""
        return self.evidence if self.open_link is None else PeerState.UP

    @property
    def open_link(self) -> Link | None:
        """The link, while it is open."""
        if self.link is None or not self.link.is_open:
            return None
        return self.link

    def record_up(self, link: Link) -> None:
        """Note that the link is open."""
        self.link = link
        self.evidence = PeerState.DOWN

    def record_end(self, evidence: PeerState) -> None:
        """Note how an attempt or a link ended.

        A proof of death is kept when a later attempt merely times out: after a
        process dies its whole machine may go, and the dead don't return under the
        same instance id.
        """
        self.link = None
        if evidence is not PeerState.DOWN:
            self.evidence = evidence

    def record_life(self) -> None:
        """Note that the peer itself sent something; drop a proof that was wrong."""
        self.evidence = PeerState.DOWN
