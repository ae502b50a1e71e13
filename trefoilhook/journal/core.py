"""Journal of one worker shard, written only by the owner of the shard.

Records are stored in numbered pages. An append rewrites the last page in a single
compare-and-swap, however many records it adds; when a page is full, a new one is
created. The head names the current generation of pages. A compaction writes a new
generation and then updates the head.

A new owner fences the previous owner by writing its epoch into the head and the last
page, and by creating the next page. Later writes of the previous owner fail because the
revision of the page has changed, and the page contains the higher epoch.
"""

from collections.abc import Sequence

import attrs

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    DecodeError,
    FencedError,
    StoreError,
    StoreRateError,
    StoreUnavailableError,
    StoreUnsentError,
)
from trefoilhook.jobs import JobRecord
from trefoilhook.journal.compaction import compact_records
from trefoilhook.journal.generations import delete_old_generations, name_generation
from trefoilhook.journal.head import JournalHead
from trefoilhook.journal.pages import (
    Page,
    decode_page,
    encode_page,
    estimate_size,
)
from trefoilhook.journal.settings import JournalSettings
from trefoilhook.store import (
    ConflictError,
    StoreClient,
    StoreEntry,
    generate_nonce,
    swap_with_read_back,
)

__all__ = ["Journal", "open_journal"]

_KEY_PREFIX = "journal"
# Compacted pages are written only once, so they may exceed the size of appended pages.
_COMPACTED_PAGE_BYTES = 262_144
# Growth since the last compaction that triggers the next one.
_COMPACTION_GROWTH_FACTOR = 2


def open_journal(
    *,
    store: StoreClient,
    shard_id: str,
    epoch: int,
    clock: Clock,
    settings: JournalSettings | None = None,
) -> "Journal":
    """Create the journal of a shard for the owner at an epoch; performs no I/O."""
    return Journal(
        store=store,
        shard_id=shard_id,
        epoch=epoch,
        clock=clock,
        settings=settings or JournalSettings(),
    )


@attrs.define(kw_only=True)
class _StoredPage:
    """A page with its last known revision in the store."""

    key: str
    page: Page
    revision: int
    size: int


class Journal:
    """Journal of a shard, as accessed by one owner.

    Parameters
    ----------
    store : StoreClient
        Client for the platform's store.
    shard_id : str
        Id of the shard.
    epoch : int
        Epoch of the owner's claim on the shard.
    clock : Clock
        Clock.
    settings : JournalSettings
        Page sizes, retention and timeouts.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        shard_id: str,
        epoch: int,
        clock: Clock,
        settings: JournalSettings,
    ) -> None:
        self._store = store
        self._prefix = f"{_KEY_PREFIX}/{shard_id}"
        self._epoch = epoch
        self._clock = clock
        self._settings = settings
        self._head = JournalHead(
            store=store, swap=self._swap, key=f"{self._prefix}/head", epoch=epoch
        )
        self._generations: dict[str, list[_StoredPage]] = {}
        self._pages: list[_StoredPage] = []
        self._unconfirmed: list[Page] = []
        self._compactions = 0
        self._compaction_threshold_bytes = settings.compact_pages * settings.page_bytes

    @property
    def page_count(self) -> int:
        """Number of pages in use."""
        return len(self._pages)

    async def load(self) -> Sequence[JobRecord]:
        """Fence previous owners and return all records, oldest first.

        Raises
        ------
        FencedError
            If a later owner has written to the journal.
        StoreError
            If the store cannot be reached; the call may be repeated.
        """
        await self._head.fence()
        self._generations = {}
        self._pages = await self._read_pages()
        self._unconfirmed = []
        await self._fence_pages()
        return [r for stored in self._pages for r in stored.page.records]

    async def append(self, records: Sequence[JobRecord]) -> None:
        """Commit records; returns once they are durable.

        Raises
        ------
        FencedError
            If a later owner has written; these records are not committed.
        StoreUnsentError, StoreRateError
            If the records were certainly not committed.
        StoreUnavailableError
            If the outcome is unknown. The records may be appended again, since
            duplicate records do not change the restored state.
        """
        await self._resolve_head()
        is_partly_committed = False
        for chunk in self._split_records(
            records, limit_bytes=self._settings.page_bytes
        ):
            try:
                await self._append_chunk(chunk)
            except (StoreRateError, StoreUnavailableError) as error:
                if is_partly_committed:
                    message = "only part of the records was committed"
                    raise StoreUnavailableError(message) from error
                raise
            is_partly_committed = True
        if self._count_bytes() > self._compaction_threshold_bytes:
            await self._try_compact()

    async def _append_chunk(self, records: tuple[JobRecord, ...]) -> None:
        if self._pages[-1].size >= self._settings.page_bytes:
            await self._open_next_page()
        last = self._pages[-1]
        await self._write_page(last, (*last.page.records, *records))

    async def _resolve_head(self) -> None:
        """Determine the current generation before writing to it."""
        if not self._head.has_unconfirmed_change:
            return
        try:
            await self._head.resolve()
        except StoreUnavailableError as error:
            raise StoreUnsentError(
                "the outcome of the last change of the journal head is unknown"
            ) from error
        self._pages = self._generations.get(self._head.generation, self._pages)
        self._generations = {}

    async def _open_next_page(self) -> None:
        try:
            await self._open_page()
        except StoreUnavailableError as error:
            raise StoreUnsentError(
                "the next journal page could not be created"
            ) from error

    async def _read_pages(self) -> list[_StoredPage]:
        pages: list[_StoredPage] = []
        after_key = ""
        while True:
            found = await self._store.list_entries(
                f"{self._prefix}/{self._head.generation}/", after_key=after_key
            )
            pages.extend(_decode_entry(entry) for entry in found.entries)
            if found.next_key is None:
                return pages
            after_key = found.next_key

    async def _fence_pages(self) -> None:
        """Seal the last page against the previous owner and create the next one.

        The previous owner either appends to the last page, which fails because sealing
        changed its revision, or creates the next page, which fails because it already
        exists. If the previous owner created it first, it is read and sealed in turn.
        """
        sealed = 0
        while True:
            for stored in self._pages[max(sealed, len(self._pages) - 1) :]:
                await self._seal(stored)
            sealed = len(self._pages)
            try:
                await self._open_page()
                return
            except ConflictError as conflict:
                if conflict.current is None:
                    raise
                self._pages.append(_decode_entry(conflict.current))

    async def _seal(self, stored: _StoredPage) -> None:
        self._check_epoch(stored.page.epoch)
        while True:
            page = attrs.evolve(stored.page, epoch=self._epoch, nonce=generate_nonce())
            try:
                stored.revision = await self._swap(
                    stored.key, encode_page(page), stored.revision
                )
            except ConflictError as conflict:
                if conflict.current is None:
                    message = (
                        f"{stored.key} was deleted by a compaction of a later owner"
                    )
                    raise FencedError(message) from conflict
                current = _decode_entry(conflict.current)
                self._check_epoch(current.page.epoch)
                stored.page, stored.revision = current.page, current.revision
                stored.size = current.size
            else:
                stored.page = page
                return

    async def _open_page(self) -> None:
        """Create the page that follows the last one."""
        number = len(self._pages)
        key = f"{self._prefix}/{self._head.generation}/{number:06d}"
        try:
            opened = await self._create_page(key, ())
        except ConflictError as conflict:
            if conflict.current is None:
                raise
            opened = _decode_entry(conflict.current)
            self._check_epoch(opened.page.epoch)
            if opened.page.epoch != self._epoch:
                raise
        await self._head.check_unchanged()
        self._pages.append(opened)
        self._unconfirmed = []

    async def _create_page(
        self, key: str, records: tuple[JobRecord, ...]
    ) -> _StoredPage:
        page = Page(epoch=self._epoch, nonce=generate_nonce(), records=records)
        value = encode_page(page)
        revision = await self._swap(key, value, 0)
        return _StoredPage(key=key, page=page, revision=revision, size=len(value))

    async def _write_page(
        self, stored: _StoredPage, records: tuple[JobRecord, ...]
    ) -> None:
        """Rewrite a page, resolving earlier writes whose outcome is unknown.

        A write whose response was lost may take effect at any later time, but only at
        the revision that it expected. The next write expects the same revision, so only
        one of them takes effect, and on conflict the nonce identifies which.
        """
        while True:
            page = Page(epoch=self._epoch, nonce=generate_nonce(), records=records)
            value = encode_page(page)
            try:
                revision = await self._swap(stored.key, value, stored.revision)
            except ConflictError as conflict:
                self._resolve_conflict(stored, conflict)
                added = [r for r in records if r not in stored.page.records]
                if not added:
                    return
                records = (*stored.page.records, *added)
            except StoreUnavailableError as error:
                if not error.is_proved_unsent:
                    self._unconfirmed.append(page)
                raise
            else:
                stored.page, stored.revision = page, revision
                stored.size = len(value)
                self._unconfirmed = []
                return

    def _resolve_conflict(self, stored: _StoredPage, conflict: ConflictError) -> None:
        """Adopt the unconfirmed write that took effect.

        Raises
        ------
        FencedError
            If the page was deleted, or written by another owner.
        """
        if conflict.current is None:
            raise FencedError(
                f"{stored.key} was deleted by a compaction of a later owner"
            )
        current = _decode_entry(conflict.current)
        self._check_epoch(current.page.epoch)
        if current.page.nonce not in {page.nonce for page in self._unconfirmed}:
            raise FencedError(f"{stored.key} was written by another owner")
        stored.page, stored.revision = current.page, current.revision
        stored.size = current.size
        self._unconfirmed = []

    async def _try_compact(self) -> None:
        """Compact; on failure the old generation stays in use until the next append."""
        try:
            await self._compact()
        except FencedError:
            raise
        except StoreError:
            return

    async def _compact(self) -> None:
        """Write the records still needed as a new generation, then switch to it."""
        old_pages = list(self._pages)
        cutoff_ms = self._clock.wall_ms() - self._settings.keep_ended_ms
        records = compact_records(
            [r for stored in old_pages for r in stored.page.records],
            ended_after_ms=cutoff_ms,
        )
        self._compactions += 1
        generation = name_generation(
            epoch=self._epoch, number=self._compactions, nonce=generate_nonce()
        )
        new_pages: list[_StoredPage] = []
        chunks = self._split_records(records, limit_bytes=_COMPACTED_PAGE_BYTES)
        for number, chunk in enumerate(chunks or [()]):
            key = f"{self._prefix}/{generation}/{number:06d}"
            new_pages.append(await self._create_page(key, chunk))
        self._generations = {self._head.generation: self._pages, generation: new_pages}
        await self._head.switch(generation)
        self._generations = {}
        self._pages = new_pages
        self._unconfirmed = []
        min_bytes = self._settings.compact_pages * self._settings.page_bytes
        self._compaction_threshold_bytes = max(
            min_bytes, _COMPACTION_GROWTH_FACTOR * self._count_bytes()
        )
        await delete_old_generations(
            self._store,
            prefix=self._prefix,
            generation=generation,
            epoch=self._epoch,
        )

    def _count_bytes(self) -> int:
        return sum(stored.size for stored in self._pages)

    def _split_records(
        self, records: Sequence[JobRecord], *, limit_bytes: int
    ) -> list[tuple[JobRecord, ...]]:
        chunks: list[tuple[JobRecord, ...]] = []
        chunk: list[JobRecord] = []
        size = 0
        for record in records:
            chunk.append(record)
            size += estimate_size([record])
            if size >= limit_bytes:
                chunks.append(tuple(chunk))
                chunk, size = [], 0
        if chunk:
            chunks.append(tuple(chunk))
        return chunks

    async def _swap(self, key: str, value: bytes, expected_revision: int) -> int:
        return await swap_with_read_back(
            self._store,
            key,
            value,
            expected_revision=expected_revision,
            clock=self._clock,
            timeout_ms=self._settings.write_timeout_ms,
        )

    def _check_epoch(self, epoch: int) -> None:
        if epoch > self._epoch:
            raise FencedError(f"{self._prefix} belongs to epoch {epoch}")


def _decode_entry(entry: StoreEntry) -> _StoredPage:
    try:
        page = decode_page(entry.value)
    except DecodeError as error:
        # The records are unknown until the page is valid again, as in an outage.
        message = f"{entry.key} is unreadable: {error}"
        raise StoreUnavailableError(message) from error
    return _StoredPage(
        key=entry.key, page=page, revision=entry.revision, size=len(entry.value)
    )
