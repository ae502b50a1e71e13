"""What the answer to a client's request is based on, for the log."""

import attrs

from trefoilhook.clock import Clock

__all__ = ["RequestTrace"]

_MAX_LOGGED_READS = 4
"""Maximum number of reads that a line names."""


@attrs.define(kw_only=True, eq=False)
class RequestTrace:
    """The reads and the time that a request has taken.

    Parameters
    ----------
    clock : Clock
        Time source.
    began_ms : float
        When the request was received, in ms.
    timeout_ms : float
        Time for which the client waits for the answer, in ms.

    Attributes
    ----------
    revision : int
        Revision of the job's record; 0 if it was not read.
    why : str
        Why the request was refused or has failed; empty if it has not.
    """

    clock: Clock
    began_ms: float
    timeout_ms: float
    revision: int = 0
    why: str = ""
    _reads: list[str] = attrs.field(factory=list, init=False)
    _read_ms: float = attrs.field(default=0.0, init=False)

    def note_read(self, name: str, *, at_ms: float | None = None) -> None:
        """Record a read whose answer shows the state at ``at_ms``, by default now."""
        self._reads.append(name)
        self._read_ms = self.clock.monotonic_ms() if at_ms is None else at_ms

    def measure_time(self) -> float:
        """Return the time since the request was received, in ms."""
        return self.clock.monotonic_ms() - self.began_ms

    def describe(self) -> dict[str, str | int]:
        """Return the fields of a log line."""
        fields: dict[str, str | int] = {"ms": round(self.measure_time())}
        if self._reads:
            fields["read"] = ",".join(self._reads[:_MAX_LOGGED_READS])
            fields["read_age_ms"] = round(self.clock.monotonic_ms() - self._read_ms)
        if len(self._reads) > _MAX_LOGGED_READS:
            fields["reads"] = len(self._reads)
        if self.revision:
            fields["revision"] = self.revision
        return fields
