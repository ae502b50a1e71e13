"""The head of a journal: which generation of pages is in use."""

from collections.abc import Awaitable, Callable

from trefoilhook.exceptions import FencedError, StoreUnavailableError
from trefoilhook.journal.generations import name_generation
from trefoilhook.journal.pages import Head, decode_head, encode_head
from trefoilhook.store import (
    ConflictError,
    StoreClient,
    build_nonce,
)

__all__ = ["JournalHead", "SwapValue"]

# Changes a key from an expected revision; returns the new one.
SwapValue = Callable[[str, bytes, int], Awaitable[int]]


class JournalHead:
    """The head as one owner knows it.

    Parameters
    ----------
    store : StoreClient
        Adapter to the platform's store.
    swap : callable
        Changes a value in the store.
    key : str
        Where the head stands.
    epoch : int
        Epoch of the owner.
    """

    def __init__(
        self, *, store: StoreClient, swap: SwapValue, key: str, epoch: int
    ) -> None:
        self._store = store
        self._swap = swap
        self._key = key
        self._epoch = epoch
        self._revision = 0
        self._nonce = ""
        self._unsure: dict[str, Head] = {}
        self.generation = ""

    @property
    def is_unsure(self) -> bool:
        """Whether a change may have taken effect, or may yet."""
        return bool(self._unsure)

    async def fence(self) -> None:
        """Write the own epoch into the head, whatever generation it names.

        Raises
        ------
        FencedError
            If a later owner has been here.
        """
        entry = await self._store.get(self._key)
        generation, revision = name_generation(epoch=self._epoch, number=0), 0
        if entry is not None:
            head = decode_head(entry.value)
            self._check_epoch(head)
            generation, revision = head.generation, entry.revision
        self._revision = revision
        await self.switch(generation)

    async def switch(self, generation: str) -> None:
        """Name another generation.

        Raises
        ------
        FencedError
            If a later owner has been here.
        StoreUnavailableError
            If it is not known whether the change takes effect; then `settle` it.
        """
        head = Head(epoch=self._epoch, nonce=build_nonce(), generation=generation)
        try:
            revision = await self._swap(self._key, encode_head(head), self._revision)
        except ConflictError as conflict:
            if conflict.current is not None:
                self._check_epoch(decode_head(conflict.current.value))
            raise
        except StoreUnavailableError as error:
            if not error.is_proved_unsent:
                self._unsure[head.nonce] = head
            raise
        self._revision = revision
        self._nonce = head.nonce
        self.generation = generation
        self._unsure.clear()

    async def confirm(self) -> None:
        """Make sure, once a page was created, that no later owner came before it.

        Guards against lost records: a later owner that compacted has deleted the pages
        that fence its predecessors. One of those that was frozen meanwhile finds the
        place of its next page free, and what it wrote there nobody would ever read.
        When the head is still the own one after the page was created, any later owner
        finds the page.

        Raises
        ------
        FencedError
            If a later owner has been here.
        """
        entry = await self._store.get(self._key)
        if entry is None or decode_head(entry.value).nonce != self._nonce:
            raise FencedError(f"{self._key} was written by another")

    async def settle(self) -> None:
        """Find out what became of changes whose answers were lost.

        Guards against lost records: the head may name a new generation, at once or
        when a delayed change arrives, while this owner goes on writing pages of the
        old one, which the next owner never reads. All the changes expected the same
        revision, and so does this one: either it takes effect, and then none of them
        ever can, or the conflict shows which of them did.

        Raises
        ------
        FencedError
            If a later owner has been here.
        StoreError
            If it is still not known; may be called again.
        """
        if not self._unsure:
            return
        try:
            await self.switch(self.generation)
        except ConflictError as conflict:
            self._adopt(conflict)

    def _adopt(self, conflict: ConflictError) -> None:
        if conflict.current is None:
            raise conflict
        head = decode_head(conflict.current.value)
        if head.nonce not in self._unsure:
            raise FencedError(f"{self._key} was written by another") from conflict
        self._revision = conflict.current.revision
        self._nonce = head.nonce
        self.generation = head.generation
        self._unsure.clear()

    def _check_epoch(self, head: Head) -> None:
        if head.epoch > self._epoch:
            raise FencedError(f"{self._key} belongs to epoch {head.epoch}")
