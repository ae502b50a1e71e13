"""Head of a journal, which names the current generation of pages."""

from collections.abc import Awaitable, Callable

from trefoilhook.exceptions import DecodeError, FencedError, StoreUnavailableError
from trefoilhook.journal.generations import name_generation
from trefoilhook.journal.pages import Head, decode_head, encode_head
from trefoilhook.store import (
    ConflictError,
    StoreClient,
    generate_nonce,
)

__all__ = ["JournalHead", "SwapFunction"]

# Writes a key if it has the expected revision; returns the new revision.
SwapFunction = Callable[[str, bytes, int], Awaitable[int]]


class JournalHead:
    """Head of a journal, as accessed by one owner.

    Parameters
    ----------
    store : StoreClient
        Client for the platform's store.
    swap : callable
        Compare-and-swap on a key of the store.
    key : str
        Key of the head.
    epoch : int
        Epoch of the owner.
    """

    def __init__(
        self, *, store: StoreClient, swap: SwapFunction, key: str, epoch: int
    ) -> None:
        self._store = store
        self._swap = swap
        self._key = key
        self._epoch = epoch
        self._revision = 0
        self._nonce = ""
        self._unconfirmed: dict[str, Head] = {}
        self.generation = ""

    @property
    def has_unconfirmed_change(self) -> bool:
        """Whether a change of unknown outcome may have taken effect, or still may."""
        return bool(self._unconfirmed)

    async def fence(self) -> None:
        """Write this owner's epoch into the head, keeping its generation.

        Raises
        ------
        FencedError
            If a later owner has written to the journal.
        """
        entry = await self._store.get(self._key)
        generation, revision = name_generation(epoch=self._epoch, number=0), 0
        if entry is not None:
            head = self._decode(entry.value)
            self._check_epoch(head)
            generation, revision = head.generation, entry.revision
        self._revision = revision
        await self.switch(generation)

    async def switch(self, generation: str) -> None:
        """Switch the head to another generation.

        Raises
        ------
        FencedError
            If a later owner has written to the journal.
        StoreUnavailableError
            If the outcome of the change is unknown; call `resolve` to determine it.
        """
        head = Head(epoch=self._epoch, nonce=generate_nonce(), generation=generation)
        try:
            revision = await self._swap(self._key, encode_head(head), self._revision)
        except ConflictError as conflict:
            if conflict.current is not None:
                self._check_epoch(self._decode(conflict.current.value))
            raise
        except StoreUnavailableError as error:
            if not error.is_proved_unsent:
                self._unconfirmed[head.nonce] = head
            raise
        self._revision = revision
        self._nonce = head.nonce
        self.generation = generation
        self._unconfirmed.clear()

    async def check_unchanged(self) -> None:
        """Check, after creating a page, that no later owner has changed the head.

        A later owner that compacted the journal has deleted the pages that fence
        previous owners. A previous owner that was suspended meanwhile could create its
        next page, whose records would never be read. If the head is unchanged after the
        page was created, any later owner will find the page.

        Raises
        ------
        FencedError
            If a later owner has written to the journal.
        """
        entry = await self._store.get(self._key)
        if entry is None or self._decode(entry.value).nonce != self._nonce:
            raise FencedError(f"{self._key} was written by another owner")

    async def resolve(self) -> None:
        """Determine the outcome of changes whose responses were lost.

        Otherwise the head might name a new generation, immediately or once a delayed
        change arrives, while this owner keeps writing to the old one, which the next
        owner never reads. All unconfirmed changes expect the same revision, as does the
        write made here: either it takes effect and excludes all of them, or the
        conflict shows which of them took effect.

        Raises
        ------
        FencedError
            If a later owner has written to the journal.
        StoreError
            If the outcome is still unknown; the call may be repeated.
        """
        if not self._unconfirmed:
            return
        try:
            await self.switch(self.generation)
        except ConflictError as conflict:
            self._adopt_change(conflict)

    def _adopt_change(self, conflict: ConflictError) -> None:
        if conflict.current is None:
            raise conflict
        head = self._decode(conflict.current.value)
        if head.nonce not in self._unconfirmed:
            raise FencedError(f"{self._key} was written by another owner") from conflict
        self._revision = conflict.current.revision
        self._nonce = head.nonce
        self.generation = head.generation
        self._unconfirmed.clear()

    def _decode(self, value: bytes) -> Head:
        """Decode the head; an unreadable one counts as an outage of the store."""
        try:
            return decode_head(value)
        except DecodeError as error:
            message = f"{self._key} is unreadable: {error}"
            raise StoreUnavailableError(message) from error

    def _check_epoch(self, head: Head) -> None:
        if head.epoch > self._epoch:
            raise FencedError(f"{self._key} belongs to epoch {head.epoch}")
