"""Changes of a team's configuration: read, edit, validate, compare-and-swap."""

import secrets
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from trefoilhook.clock import Clock
from trefoilhook.configuration.commit import ReadEntry, SwapEntry, commit_document
from trefoilhook.configuration.document import (
    Action,
    ChangeRecord,
    StoredChange,
    TeamDocument,
    decode_document,
    list_changes,
)
from trefoilhook.configuration.paths import (
    PathSegments,
    get_value,
    parse_path,
    remove_value,
    replace_value,
)
from trefoilhook.configuration.schema import TeamConfiguration
from trefoilhook.configuration.view import build_team_key
from trefoilhook.exceptions import RequestError, SettingsError
from trefoilhook.results import ResultCode
from trefoilhook.settings import check_name, read_settings
from trefoilhook.store import ConflictError

__all__ = [
    "ConfigurationConflictError",
    "ConfigurationEditor",
    "ConfigurationValue",
]

_NONCE_BYTES = 12
_MAX_AUTHOR_CHARACTERS = 64


@attrs.frozen(kw_only=True)
class ConfigurationValue:
    """The value at a path of a team's configuration.

    Parameters
    ----------
    revision : int
        Revision of the team's subtree; 0 if the team has none.
    value : object
        The value, as parsed JSON.
    """

    revision: int
    value: Any


class ConfigurationConflictError(ConflictError):
    """The configuration was changed concurrently; holds the current value.

    Parameters
    ----------
    message : str
        Human-readable description of the error.
    standing : ConfigurationValue
        Current value at the path, with its revision.
    """

    def __init__(self, message: str, *, standing: ConfigurationValue) -> None:
        super().__init__(message)
        self.standing = standing


class _Edit(Protocol):
    def __call__(self, subtree: dict[str, Any]) -> dict[str, Any]: ...


@attrs.frozen(kw_only=True)
class _LoadedDocument:
    revision: int
    document: TeamDocument


class ConfigurationEditor:
    """Reads and changes the configuration of teams in the store.

    Parameters
    ----------
    get : callable
        Reads an entry of the store.
    swap : callable
        Compare-and-swap of the store's adapter, in the variant that reads back.
    root : str
        Prefix of all keys, without a trailing ``/``.
    clock : Clock
        Source of the time of a change.
    history_limit : int, optional
        Number of changes kept in the history of a subtree.
    make_nonce : callable, optional
        Returns a unique string that identifies one change.
    """

    def __init__(
        self,
        *,
        get: ReadEntry,
        swap: SwapEntry,
        root: str,
        clock: Clock,
        history_limit: int = 50,
        make_nonce: Callable[[], str] = lambda: secrets.token_hex(_NONCE_BYTES),
    ) -> None:
        self._get = get
        self._swap = swap
        self._root = root
        self._clock = clock
        self._history_limit = history_limit
        self._make_nonce = make_nonce

    async def read(self, team: str, path: str) -> ConfigurationValue:
        """Return the value at a path, as read from the store.

        Raises
        ------
        RequestError
            If the path is malformed or doesn't exist.
        StoreError
            If the store is unavailable.
        """
        segments = parse_path(path)
        loaded = await self._load(team)
        if loaded.revision == 0 or loaded.document.is_deleted:
            message = f"the team {team} has no configuration"
            raise RequestError(message, code=ResultCode.NOT_FOUND)
        value = get_value(loaded.document.subtree, segments)
        return ConfigurationValue(revision=loaded.revision, value=value)

    async def read_history(self, team: str) -> tuple[ChangeRecord, ...]:
        """Return the latest changes of a team's subtree, newest first."""
        loaded = await self._load(team)
        return list_changes(loaded.document, revision=loaded.revision)

    async def validate(self, team: str, path: str, value: Any) -> ConfigurationValue:
        """Validate a change without applying it; return the resulting subtree.

        Raises
        ------
        InvalidSettingsError
            If the resulting subtree would be invalid.
        """
        segments = parse_path(path)
        loaded = await self._load(team)
        subtree = replace_value(loaded.document.subtree, segments, value)
        read_settings(TeamConfiguration, subtree)
        return ConfigurationValue(revision=loaded.revision, value=subtree)

    async def put(
        self,
        team: str,
        path: str,
        value: Any,
        *,
        author: str,
        expected_revision: int | None = None,
        protected: tuple[str, ...] = (),
    ) -> ConfigurationValue:
        """Set the value at a path.

        Parameters
        ----------
        team : str
            Name of the team.
        path : str
            Path in the subtree; empty for the whole subtree.
        value : object
            The new value, as parsed JSON.
        author : str
            Name of the owner of the token that the change is made with.
        expected_revision : int, optional
            Revision that the change is based on, 0 for a team without configuration;
            by default the current one.
        kept : tuple of str, optional
            Names in the subtree that the author may not change.

        Returns
        -------
        ConfigurationValue
            The accepted value and its revision.

        Raises
        ------
        RequestError
            If a part that the author may not change would change; nothing changed.
        InvalidSettingsError
            If the resulting subtree would be invalid; nothing changed.
        ConfigurationConflictError
            If the subtree is not at the expected revision; nothing changed.
        StoreError
            If the store is unavailable: nothing changed, or, with the code
            COMMIT_UNKNOWN, it is unknown whether the change took effect.
        """
        segments = parse_path(path)

        def edit(subtree: dict[str, Any]) -> dict[str, Any]:
            return replace_value(subtree, segments, value)

        revision = await self._change(
            team, segments, edit, "set", author, expected_revision, protected
        )
        return ConfigurationValue(revision=revision, value=value)

    async def delete(
        self,
        team: str,
        path: str,
        *,
        author: str,
        expected_revision: int | None = None,
        protected: tuple[str, ...] = (),
    ) -> ConfigurationValue:
        """Delete the value at a path; see `put` for parameters and errors."""
        segments = parse_path(path)

        def edit(subtree: dict[str, Any]) -> dict[str, Any]:
            return remove_value(subtree, segments)

        revision = await self._change(
            team, segments, edit, "delete", author, expected_revision, protected
        )
        return ConfigurationValue(revision=revision, value=None)

    async def _load(
        self, team: str, *, accepts_invalid: bool = False
    ) -> _LoadedDocument:
        """Read a team's document.

        With ``accepts_invalid`` an invalid value counts as an empty document, so that a
        value corrupted by another program can be replaced.
        """
        reason = check_name(team)
        if reason is not None:
            raise RequestError(f"team name {reason}")
        entry = await self._get(build_team_key(self._root, team))
        if entry is None:
            return _LoadedDocument(revision=0, document=TeamDocument())
        try:
            document = decode_document(entry.value)
        except SettingsError:
            if not accepts_invalid:
                raise
            document = TeamDocument()
        return _LoadedDocument(revision=entry.revision, document=document)

    async def _change(
        self,
        team: str,
        segments: PathSegments,
        edit: _Edit,
        action: Action,
        author: str,
        expected_revision: int | None,
        protected: tuple[str, ...],
    ) -> int:
        loaded = await self._load(team, accepts_invalid=not segments)
        if expected_revision not in (None, loaded.revision):
            raise self._build_conflict(team, segments, loaded)
        subtree = edit(loaded.document.subtree)
        _check_protected(loaded.document.subtree, subtree, protected)
        read_settings(TeamConfiguration, subtree)
        change = StoredChange(
            previous_revision=loaded.revision,
            nonce=self._make_nonce(),
            author=author[:_MAX_AUTHOR_CHARACTERS],
            at_ms=self._clock.wall_ms(),
            action=action,
            path="/".join(segments),
        )
        changes = (*loaded.document.changes, change)[-self._history_limit :]
        document = TeamDocument(
            subtree=subtree,
            is_deleted=action == "delete" and not segments,
            changes=changes,
        )
        try:
            return await commit_document(
                get=self._get,
                swap=self._swap,
                key=build_team_key(self._root, team),
                document=document,
            )
        except ConflictError:
            raise await self._load_conflict(team, segments) from None

    async def _load_conflict(
        self, team: str, segments: PathSegments
    ) -> ConfigurationConflictError:
        loaded = await self._load(team, accepts_invalid=True)
        return self._build_conflict(team, segments, loaded)

    def _build_conflict(
        self, team: str, segments: PathSegments, loaded: _LoadedDocument
    ) -> ConfigurationConflictError:
        try:
            value = get_value(loaded.document.subtree, segments)
        except RequestError:
            value = None
        standing = ConfigurationValue(revision=loaded.revision, value=value)
        message = f"the configuration of {team} is at revision {loaded.revision}"
        return ConfigurationConflictError(message, standing=standing)


def _check_protected(
    before: dict[str, Any], after: dict[str, Any], protected: tuple[str, ...]
) -> None:
    """Refuse changes of parts that the author may not change."""
    for name in protected:
        if before.get(name) != after.get(name):
            message = f"only the cluster's token may change {name}"
            raise RequestError(message, code=ResultCode.FORBIDDEN)
