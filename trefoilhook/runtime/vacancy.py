"""Time for which a shard has had no owner, as one instance sees it."""

import attrs

from trefoilhook.platform import Item

__all__ = ["Vacancy"]


@attrs.define(kw_only=True)
class Vacancy:
    """Time since which the shard has been vacant, across failed reads.

    Each claim changes the epoch key, so that a shard which is found vacant twice with
    the same revision of that key has had no owner in between.

    Parameters
    ----------
    since_ms : float
        Begin of the vacancy, in ms; meaningless while there is an owner.
    """

    since_ms: float = 0.0
    _epoch_revision: int | None = attrs.field(default=None, init=False)

    def note_listing(
        self,
        *,
        owner: Item | None,
        epoch: Item | None,
        now_ms: float,
        recovered_ms: float,
    ) -> None:
        """Record what a listing shows, also after reads that failed.

        Parameters
        ----------
        owner, epoch : Item or None
            The owner's key and the epoch key.
        now_ms : float
            Current time, in ms.
        recovered_ms : float
            Time at which the store last recovered from an outage, in ms. No instance
            could have claimed before.
        """
        revision = _get_revision(epoch)
        if owner is None and self._epoch_revision == revision:
            self.since_ms = max(self.since_ms, recovered_ms)
        else:
            self.note_owner(owner, epoch=epoch, now_ms=now_ms)

    def note_owner(
        self, owner: Item | None, *, epoch: Item | None, now_ms: float
    ) -> None:
        """Record a change of the owner's key."""
        self.since_ms = now_ms
        self._epoch_revision = _get_revision(epoch) if owner is None else None

    def postpone(self, now_ms: float) -> None:
        """Record that no instance can claim the shard yet."""
        self.since_ms = now_ms


def _get_revision(epoch: Item | None) -> int:
    return epoch.revision if epoch is not None else 0
