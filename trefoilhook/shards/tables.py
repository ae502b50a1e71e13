"""Reads and writes the shard table in the store."""

from trefoilhook.clock import Clock
from trefoilhook.membership import Members, MirrorEntry, decode_members
from trefoilhook.membership.members import MEMBERS_PREFIX
from trefoilhook.shards.core import (
    TABLE_KEY,
    ShardTable,
    decode_table,
    encode_table,
)
from trefoilhook.store import StoreClient, generate_nonce, swap_with_read_back

__all__ = ["TableStore"]

_WRITE_TIMEOUT_MS = 2_000.0


class TableStore:
    """Access to the current shard table and members in the store, past the mirror.

    Parameters
    ----------
    store : StoreClient
        Client of the platform's store.
    clock : Clock
        Time source.
    """

    def __init__(self, *, store: StoreClient, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def fetch(self) -> ShardTable:
        """Return the table; an empty table if none has been written yet."""
        entry = await self._store.get(TABLE_KEY)
        if entry is None:
            return ShardTable()
        return decode_table(entry.value, revision=entry.revision)

    async def fetch_members(self) -> Members:
        """Return the members."""
        entries: list[MirrorEntry] = []
        after_key = ""
        revision = 0
        while True:
            page = await self._store.list_entries(MEMBERS_PREFIX, after_key=after_key)
            entries.extend(
                MirrorEntry(key=e.key, value=e.value, revision=e.revision)
                for e in page.entries
            )
            revision = revision or page.revision
            if page.next_key is None:
                return decode_members(entries, revision=revision)
            after_key = page.next_key

    async def write(self, table: ShardTable) -> MirrorEntry:
        """Replace the table at its revision and return the stored entry.

        Raises
        ------
        ConflictError
            If another instance wrote the table first.
        StoreError
            If the store did not confirm the write.
        """
        value = encode_table(table, nonce=generate_nonce())
        revision = await swap_with_read_back(
            self._store,
            TABLE_KEY,
            value,
            expected_revision=table.revision,
            clock=self._clock,
            timeout_ms=_WRITE_TIMEOUT_MS,
        )
        return MirrorEntry(key=TABLE_KEY, value=value, revision=revision)
