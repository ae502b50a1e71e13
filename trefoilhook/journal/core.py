"""The journal of one worker shard, written by its owner alone.

Records stand in numbered pages. An append writes the last page anew with one
compare-and-swap, however many records it adds; a full page is followed by the next. The
head names the generation of pages in use; a compaction writes a new generation and then
changes the head.

A new owner fences the former one: it writes its epoch into the head and into the last
page and takes the next page for itself. Whatever the former owner still writes meets a
page at another revision, in which it finds the higher epoch.
"""

from collections.abc import Sequence

import attrs

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    FencedError,
    StoreError,
    StoreRateError,
    StoreUnavailableError,
    StoreUnsentError,
)
from trefoilhook.jobs import JobRecord
from trefoilhook.journal.compaction import compact_records
from trefoilhook.journal.generations import drop_former, name_generation
from trefoilhook.journal.head import JournalHead
from trefoilhook.journal.pages import (
    Page,
    decode_page,
    encode_page,
    measure_records,
)
from trefoilhook.journal.settings import JournalSettings
from trefoilhook.store import (
    ConflictError,
    StoreClient,
    StoreEntry,
    build_nonce,
    swap_reading_back,
)

__all__ = ["Journal", "open_journal"]

_PREFIX = "journal"
# A page of a compaction is written once, so it may be larger than one that grows.
_COMPACTED_PAGE_BYTES = 262_144
# A journal is compacted again once it has grown by this factor.
_GROWTH = 2


def open_journal(
    *,
    store: StoreClient,
    shard_id: str,
    epoch: int,
    clock: Clock,
    settings: JournalSettings | None = None,
) -> "Journal":
    """Open a shard's journal for the owner at an epoch; nothing is read yet."""
    return Journal(
        store=store,
        shard_id=shard_id,
        epoch=epoch,
        clock=clock,
        settings=settings or JournalSettings(),
    )


@attrs.define(kw_only=True)
class _Written:
    """A page as this owner knows it in the store."""

    key: str
    page: Page
    revision: int
    size: int


class Journal:
    """One owner's way to a shard's journal.

    Parameters
    ----------
    store : StoreClient
        Adapter to the platform's store.
    shard_id : str
        The shard.
    epoch : int
        Epoch of the owner's claim.
    clock : Clock
        Time.
    settings : JournalSettings
        Sizes and times.
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
        self._prefix = f"{_PREFIX}/{shard_id}"
        self._epoch = epoch
        self._clock = clock
        self._settings = settings
        self._head = JournalHead(
            store=store, swap=self._swap, key=f"{self._prefix}/head", epoch=epoch
        )
        self._generations: dict[str, list[_Written]] = {}
        self._pages: list[_Written] = []
        self._unsure: list[Page] = []
        self._compactions = 0
        self._compact_from_bytes = settings.compact_pages * settings.page_bytes

    @property
    def page_count(self) -> int:
        """Number of pages in use."""
        return len(self._pages)

    async def load(self) -> Sequence[JobRecord]:
        """Fence out former owners and return every record, oldest first.

        Raises
        ------
        FencedError
            If a later owner has been here.
        StoreError
            If the store can't be reached; may be called again.
        """
        await self._head.fence()
        self._generations = {}
        self._pages = await self._read_pages()
        self._unsure = []
        await self._fence_pages()
        return [r for written in self._pages for r in written.page.records]

    async def append(self, records: Sequence[JobRecord]) -> None:
        """Commit records together; returns once they are durable.

        Raises
        ------
        FencedError
            If a later owner has been here; these records are not committed.
        StoreUnsentError, StoreRateError
            If they are surely not committed.
        StoreUnavailableError
            If that is not known. They may be appended again; a record that stands
            twice says the same as one that stands once.
        """
        await self._settle_head()
        is_begun = False
        for chunk in self._split(records, limit_bytes=self._settings.page_bytes):
            try:
                await self._append_chunk(chunk)
            except (StoreRateError, StoreUnavailableError) as error:
                if is_begun:
                    message = "a part of the records is committed"
                    raise StoreUnavailableError(message) from error
                raise
            is_begun = True
        if self._measure() > self._compact_from_bytes:
            await self._try_compacting()

    async def _append_chunk(self, records: tuple[JobRecord, ...]) -> None:
        if self._pages[-1].size >= self._settings.page_bytes:
            await self._open_next_page()
        last = self._pages[-1]
        await self._write_page(last, (*last.page.records, *records))

    async def _settle_head(self) -> None:
        """Know which generation is in use before anything is written to it."""
        if not self._head.is_unsure:
            return
        try:
            await self._head.settle()
        except StoreUnavailableError as error:
            raise StoreUnsentError("the head is not settled") from error
        self._pages = self._generations.get(self._head.generation, self._pages)
        self._generations = {}

    async def _open_next_page(self) -> None:
        try:
            await self._open_page()
        except StoreUnavailableError as error:
            raise StoreUnsentError("no page to write to") from error

    async def _read_pages(self) -> list[_Written]:
        pages: list[_Written] = []
        after_key = ""
        while True:
            found = await self._store.list_entries(
                f"{self._prefix}/{self._head.generation}/", after_key=after_key
            )
            pages.extend(_read_entry(entry) for entry in found.entries)
            if found.next_key is None:
                return pages
            after_key = found.next_key

    async def _fence_pages(self) -> None:
        """Seal the last page against the former owner, and take the next one.

        The former owner appends to the last page that it knows or opens the one after
        it. The first fails at the sealed revision and the second at the page that now
        exists; where it came first, its page is read and sealed in turn.
        """
        sealed = 0
        while True:
            for written in self._pages[max(sealed, len(self._pages) - 1) :]:
                await self._seal(written)
            sealed = len(self._pages)
            try:
                await self._open_page()
                return
            except ConflictError as conflict:
                if conflict.current is None:
                    raise
                self._pages.append(_read_entry(conflict.current))

    async def _seal(self, written: _Written) -> None:
        self._check_epoch(written.page.epoch)
        while True:
            page = attrs.evolve(written.page, epoch=self._epoch, nonce=build_nonce())
            try:
                written.revision = await self._swap(
                    written.key, encode_page(page), written.revision
                )
            except ConflictError as conflict:
                if conflict.current is None:
                    message = f"{written.key} is gone: a later owner compacted"
                    raise FencedError(message) from conflict
                current = _read_entry(conflict.current)
                self._check_epoch(current.page.epoch)
                written.page, written.revision = current.page, current.revision
                written.size = current.size
            else:
                written.page = page
                return

    async def _open_page(self) -> None:
        """Create the page after the last one."""
        number = len(self._pages)
        key = f"{self._prefix}/{self._head.generation}/{number:06d}"
        try:
            opened = await self._create_page(key, ())
        except ConflictError as conflict:
            if conflict.current is None:
                raise
            opened = _read_entry(conflict.current)
            self._check_epoch(opened.page.epoch)
            if opened.page.epoch != self._epoch:
                raise
        await self._head.confirm()
        self._pages.append(opened)
        self._unsure = []

    async def _create_page(self, key: str, records: tuple[JobRecord, ...]) -> _Written:
        page = Page(epoch=self._epoch, nonce=build_nonce(), records=records)
        value = encode_page(page)
        revision = await self._swap(key, value, 0)
        return _Written(key=key, page=page, revision=revision, size=len(value))

    async def _write_page(
        self, written: _Written, records: tuple[JobRecord, ...]
    ) -> None:
        """Write a page anew, after finding out what became of unsure writes to it.

        A write whose answer was lost may take effect at any later time, but only at
        the revision that it expected. So the next write expects the same revision: one
        of them takes effect, and a conflict shows by its nonce which.
        """
        while True:
            page = Page(epoch=self._epoch, nonce=build_nonce(), records=records)
            value = encode_page(page)
            try:
                revision = await self._swap(written.key, value, written.revision)
            except ConflictError as conflict:
                self._resolve(written, conflict)
                added = [r for r in records if r not in written.page.records]
                if not added:
                    return
                records = (*written.page.records, *added)
            except StoreUnavailableError as error:
                if not error.is_proved_unsent:
                    self._unsure.append(page)
                raise
            else:
                written.page, written.revision = page, revision
                written.size = len(value)
                self._unsure = []
                return

    def _resolve(self, written: _Written, conflict: ConflictError) -> None:
        """Take over the unsure write that took effect.

        Raises
        ------
        FencedError
            If the page is a later owner's.
        """
        if conflict.current is None:
            raise FencedError(f"{written.key} is gone: a later owner compacted")
        current = _read_entry(conflict.current)
        self._check_epoch(current.page.epoch)
        if current.page.nonce not in {page.nonce for page in self._unsure}:
            raise FencedError(f"{written.key} was written by another")
        written.page, written.revision = current.page, current.revision
        written.size = current.size
        self._unsure = []

    async def _try_compacting(self) -> None:
        """Compact; a failure leaves the old generation in use, for the next append."""
        try:
            await self._compact()
        except FencedError:
            raise
        except StoreError:
            return

    async def _compact(self) -> None:
        """Write what still counts as a new generation, then change the head to it."""
        old = list(self._pages)
        before_ms = self._clock.wall_ms() - self._settings.keep_ended_ms
        records = compact_records(
            [r for written in old for r in written.page.records],
            ended_after_ms=before_ms,
        )
        self._compactions += 1
        generation = name_generation(
            epoch=self._epoch, number=self._compactions, nonce=build_nonce()
        )
        fresh: list[_Written] = []
        chunks = self._split(records, limit_bytes=_COMPACTED_PAGE_BYTES)
        for number, chunk in enumerate(chunks or [()]):
            key = f"{self._prefix}/{generation}/{number:06d}"
            fresh.append(await self._create_page(key, chunk))
        self._generations = {self._head.generation: self._pages, generation: fresh}
        await self._head.switch(generation)
        self._generations = {}
        self._pages = fresh
        self._unsure = []
        least_bytes = self._settings.compact_pages * self._settings.page_bytes
        self._compact_from_bytes = max(least_bytes, _GROWTH * self._measure())
        await drop_former(
            self._store,
            prefix=self._prefix,
            generation=generation,
            epoch=self._epoch,
        )

    def _measure(self) -> int:
        return sum(written.size for written in self._pages)

    def _split(
        self, records: Sequence[JobRecord], *, limit_bytes: int
    ) -> list[tuple[JobRecord, ...]]:
        chunks: list[tuple[JobRecord, ...]] = []
        chunk: list[JobRecord] = []
        size = 0
        for record in records:
            chunk.append(record)
            size += measure_records([record])
            if size >= limit_bytes:
                chunks.append(tuple(chunk))
                chunk, size = [], 0
        if chunk:
            chunks.append(tuple(chunk))
        return chunks

    async def _swap(self, key: str, value: bytes, expected_revision: int) -> int:
        return await swap_reading_back(
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


def _read_entry(entry: StoreEntry) -> _Written:
    return _Written(
        key=entry.key,
        page=decode_page(entry.value),
        revision=entry.revision,
        size=len(entry.value),
    )
