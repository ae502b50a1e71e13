"""Changing a team's configuration: read, edit, check whole, compare-and-swap."""

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
    Steps,
    get_value,
    parse_path,
    remove_value,
    replace_value,
)
from trefoilhook.configuration.schema import TeamConfiguration
from trefoilhook.configuration.view import build_team_key
from trefoilhook.exceptions import RequestError, SettingsError
from trefoilhook.results import ResultCode
from trefoilhook.settings import is_name, read_settings
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
    """What stands at a path.

    Parameters
    ----------
    revision : int
        Revision of the team's subtree; 0 when the team has none.
    value : object
        The value, as parsed JSON.
    """

    revision: int
    value: Any


class ConfigurationConflictError(ConflictError):
    """Another operator was first; what stands now is carried along.

    Parameters
    ----------
    message : str
        What happened, for people.
    standing : ConfigurationValue
        What stands at the path now, with its revision.
    """

    def __init__(self, message: str, *, standing: ConfigurationValue) -> None:
        super().__init__(message)
        self.standing = standing


class _Edit(Protocol):
    def __call__(self, subtree: dict[str, Any]) -> dict[str, Any]: ...


@attrs.frozen(kw_only=True)
class _Loaded:
    revision: int
    document: TeamDocument


class ConfigurationEditor:
    """Reads and changes the teams' configuration in the store.

    Parameters
    ----------
    get : callable
        Reads an entry of the store.
    swap : callable
        Compare-and-swap of the store's adapter, the one that reads back.
    root : str
        Prefix of all keys, without a trailing ``/``.
    clock : Clock
        Where the time of a change is read.
    history_limit : int, optional
        Changes kept with a team's subtree.
    make_nonce : callable, optional
        Makes the text that marks one change.
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
        """Return what the store holds at a path.

        Raises
        ------
        RequestError
            If the path is malformed or nothing stands there.
        StoreError
            If the store doesn't answer.
        """
        steps = parse_path(path)
        loaded = await self._load(team)
        if loaded.revision == 0 or loaded.document.is_deleted:
            message = f"the team {team} has no configuration"
            raise RequestError(message, code=ResultCode.NOT_FOUND)
        value = get_value(loaded.document.subtree, steps)
        return ConfigurationValue(revision=loaded.revision, value=value)

    async def read_history(self, team: str) -> tuple[ChangeRecord, ...]:
        """Return the latest changes of a team's subtree, the newest first."""
        loaded = await self._load(team)
        return list_changes(loaded.document, revision=loaded.revision)

    async def validate(self, team: str, path: str, value: Any) -> ConfigurationValue:
        """Check a change whole without making it; returns the whole as it would be.

        Raises
        ------
        InvalidSettingsError
            If the subtree would not be valid.
        """
        steps = parse_path(path)
        loaded = await self._load(team)
        subtree = replace_value(loaded.document.subtree, steps, value)
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
        kept: tuple[str, ...] = (),
    ) -> ConfigurationValue:
        """Set the value at a path.

        Parameters
        ----------
        team : str
            Whose subtree.
        path : str
            Path inside the subtree; empty for the whole.
        value : object
            Parsed JSON.
        author : str
            Whose token the change is made with.
        expected_revision : int, optional
            Revision that the operator edited, 0 for a team without configuration;
            the one read now when not given.
        kept : tuple of str, optional
            Parts of the subtree that the author may not change.

        Returns
        -------
        ConfigurationValue
            The accepted value and its revision.

        Raises
        ------
        RequestError
            If a part that must be kept would change; nothing changed.
        InvalidSettingsError
            If the whole subtree would not be valid; nothing changed.
        ConfigurationConflictError
            If another change was first; nothing changed.
        StoreError
            If the store can't be reached: nothing changed, or, with the code
            COMMIT_UNKNOWN, it never said whether the change took effect.
        """
        steps = parse_path(path)

        def edit(subtree: dict[str, Any]) -> dict[str, Any]:
            return replace_value(subtree, steps, value)

        revision = await self._change(
            team, steps, edit, "set", author, expected_revision, kept
        )
        return ConfigurationValue(revision=revision, value=value)

    async def delete(
        self,
        team: str,
        path: str,
        *,
        author: str,
        expected_revision: int | None = None,
        kept: tuple[str, ...] = (),
    ) -> ConfigurationValue:
        """Delete what stands at a path; see `put` for parameters and errors."""
        steps = parse_path(path)

        def edit(subtree: dict[str, Any]) -> dict[str, Any]:
            return remove_value(subtree, steps)

        revision = await self._change(
            team, steps, edit, "delete", author, expected_revision, kept
        )
        return ConfigurationValue(revision=revision, value=None)

    async def _load(self, team: str, *, is_replaced: bool = False) -> _Loaded:
        """Read a team's document.

        With ``is_replaced`` a value that can't be read counts as an empty document:
        a value spoilt by another program could else never be put right.
        """
        reason = is_name(team)
        if reason is not None:
            raise RequestError(f"the name of a team {reason}")
        entry = await self._get(build_team_key(self._root, team))
        if entry is None:
            return _Loaded(revision=0, document=TeamDocument())
        try:
            document = decode_document(entry.value)
        except SettingsError:
            if not is_replaced:
                raise
            document = TeamDocument()
        return _Loaded(revision=entry.revision, document=document)

    async def _change(
        self,
        team: str,
        steps: Steps,
        edit: _Edit,
        action: Action,
        author: str,
        expected_revision: int | None,
        kept: tuple[str, ...],
    ) -> int:
        loaded = await self._load(team, is_replaced=not steps)
        if expected_revision not in (None, loaded.revision):
            raise self._build_conflict(team, steps, loaded)
        subtree = edit(loaded.document.subtree)
        _check_kept(loaded.document.subtree, subtree, kept)
        read_settings(TeamConfiguration, subtree)
        change = StoredChange(
            previous_revision=loaded.revision,
            nonce=self._make_nonce(),
            author=author[:_MAX_AUTHOR_CHARACTERS],
            at_ms=self._clock.wall_ms(),
            action=action,
            path="/".join(steps),
        )
        changes = (*loaded.document.changes, change)[-self._history_limit :]
        document = TeamDocument(
            subtree=subtree,
            is_deleted=action == "delete" and not steps,
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
            raise await self._describe_loss(team, steps) from None

    async def _describe_loss(
        self, team: str, steps: Steps
    ) -> ConfigurationConflictError:
        loaded = await self._load(team, is_replaced=True)
        return self._build_conflict(team, steps, loaded)

    def _build_conflict(
        self, team: str, steps: Steps, loaded: _Loaded
    ) -> ConfigurationConflictError:
        try:
            value = get_value(loaded.document.subtree, steps)
        except RequestError:
            value = None
        standing = ConfigurationValue(revision=loaded.revision, value=value)
        message = f"the configuration of {team} is at revision {loaded.revision}"
        return ConfigurationConflictError(message, standing=standing)


def _check_kept(
    before: dict[str, Any], after: dict[str, Any], kept: tuple[str, ...]
) -> None:
    """Refuse a change of a part that its author may not change."""
    for name in kept:
        if before.get(name) != after.get(name):
            message = f"only the cluster's token may change {name}"
            raise RequestError(message, code=ResultCode.FORBIDDEN)
