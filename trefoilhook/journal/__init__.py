"""Durable journal of a worker shard, kept in the platform's store."""

from trefoilhook.journal.core import Journal, open_journal
from trefoilhook.journal.pages import Page, decode_page, encode_page
from trefoilhook.journal.settings import JournalSettings

__all__ = [
    "Journal",
    "JournalSettings",
    "Page",
    "decode_page",
    "encode_page",
    "open_journal",
]
