"""The configuration in force on this instance."""

from collections.abc import Iterable
from typing import Protocol

import attrs

from trefoilhook.configuration.document import decode_document
from trefoilhook.configuration.schema import TeamConfiguration
from trefoilhook.exceptions import SettingsError
from trefoilhook.logs import Event, log_event
from trefoilhook.settings import check_name, read_settings

__all__ = ["ConfigurationView", "RawEntry", "build_team_key"]

_TEAMS_PREFIX = "config/teams/"


class RawEntry(Protocol):
    """An entry of the store, as returned by its adapter."""

    @property
    def key(self) -> str:
        """Key of the entry."""

    @property
    def value(self) -> bytes:
        """Value of the entry."""

    @property
    def revision(self) -> int:
        """Revision at which the entry was last written."""


@attrs.frozen(kw_only=True)
class _TeamState:
    revision: int
    configuration: TeamConfiguration | None
    value: bytes


def build_team_key(root: str, team: str) -> str:
    """Return the key of a team's configuration in the store."""
    return f"{root}/{_TEAMS_PREFIX}{team}"


class ConfigurationView:
    """Decoded configuration of all teams; the revision of a team never decreases.

    Parameters
    ----------
    root : str
        Prefix of all keys, without a trailing ``/``.

    Notes
    -----
    Entries arrive from a watch, a listing and peers, in any order and repeatedly. A
    stalled watch that was replaced, a lagging peer or a store that has just restarted
    may supply an older entry, by which a setting would revert. An entry or deletion is
    therefore applied only if its revision is above the one in force; this suffices, as
    the store never reuses a revision.
    """

    def __init__(self, *, root: str) -> None:
        self._prefix = f"{root}/{_TEAMS_PREFIX}"
        self._states: dict[str, _TeamState] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Highest revision in force over all teams."""
        return self._revision

    def get_team(self, name: str) -> TeamConfiguration | None:
        """Return a team's configuration, or None for an unknown team."""
        state = self._states.get(name)
        return None if state is None else state.configuration

    def list_teams(self) -> tuple[str, ...]:
        """Return the names of the teams that have a configuration."""
        known = (name for name, state in self._states.items() if state.configuration)
        return tuple(sorted(known))

    def find_revision(self, name: str) -> int:
        """Return the revision in force for a team; 0 for an unknown team."""
        state = self._states.get(name)
        return 0 if state is None else state.revision

    def find_value(self, name: str) -> bytes | None:
        """Return the raw value in force for a team, or None for an unknown team."""
        state = self._states.get(name)
        return state.value if state is not None and state.value else None

    def apply(self, entries: Iterable[RawEntry]) -> tuple[str, ...]:
        """Apply entries of the store; entries of other kinds are ignored.

        Returns
        -------
        tuple of str
            Names of the teams whose configuration changed.
        """
        return tuple(team for entry in entries for team in self._apply_entry(entry))

    def apply_deletion(self, key: str, *, revision: int) -> bool:
        """Apply the deletion of a key; return whether that changed anything."""
        team = self._find_team(key)
        if team is None or not self._is_newer(team, revision):
            return False
        self._set_state(
            team, _TeamState(revision=revision, configuration=None, value=b"")
        )
        return True

    def _find_team(self, key: str) -> str | None:
        if not key.startswith(self._prefix):
            return None
        team = key.removeprefix(self._prefix)
        return team if check_name(team) is None else None

    def _is_newer(self, team: str, revision: int) -> bool:
        known = self.find_revision(team)
        if revision < known:
            log_event(Event.CONFIG_STALE, team=team, revision=revision, in_force=known)
        return revision > known

    def _apply_entry(self, entry: RawEntry) -> tuple[str, ...]:
        team = self._find_team(entry.key)
        if team is None or not self._is_newer(team, entry.revision):
            return ()
        try:
            state = self._read_state(entry)
        except SettingsError as error:
            # The value was written by another version or program. Applying it would
            # remove all services of the team, so the last valid one stays in force.
            log_event(
                Event.CONFIG_INVALID,
                team=team,
                revision=entry.revision,
                reason=str(error),
            )
            return ()
        self._set_state(team, state)
        return (team,)

    def _read_state(self, entry: RawEntry) -> _TeamState:
        document = decode_document(entry.value)
        configuration = read_settings(TeamConfiguration, document.subtree)
        return _TeamState(
            revision=entry.revision,
            configuration=None if document.is_deleted else configuration,
            value=entry.value,
        )

    def _set_state(self, team: str, state: _TeamState) -> None:
        self._states[team] = state
        self._revision = max(self._revision, state.revision)
        log_event(Event.CONFIG_IN_FORCE, team=team, revision=state.revision)
