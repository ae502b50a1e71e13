"""What the answer to a client's request is based on, for the log."""

import attrs

from trefoilhook.clock import Clock

__all__ = ["RequestTrace"]

_MAX_LOGGED_READS = 4
"""Maximum number of reads that a line names."""

_ANSWER_MARGIN_MS = 250.0
"""Time reserved for the response to reach the client, in ms."""

_MAX_MARGIN_FRACTION = 0.25
"""Maximum of that time as a fraction of the client's timeout."""


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
    _read_ms: float | None = attrs.field(default=None, init=False)

    @property
    def until_ms(self) -> float:
        """Monotonic time at which an answer must be sent to be received, in ms."""
        margin_ms = min(_ANSWER_MARGIN_MS, _MAX_MARGIN_FRACTION * self.timeout_ms)
        return self.began_ms + self.timeout_ms - max(0.0, margin_ms)

    def note_read(self, name: str) -> None:
        """Record that a read begins."""
        self._reads.append(name)

    def note_answer(self, sent_ms: float) -> None:
        """Record the answer to a read that was begun at ``sent_ms``."""
        self._read_ms = sent_ms

    def measure_time(self) -> float:
        """Return the time since the request was received, in ms."""
        return self.clock.monotonic_ms() - self.began_ms

    def describe(self) -> dict[str, str | int]:
        """Return the fields of a log line."""
        fields: dict[str, str | int] = {"ms": round(self.measure_time())}
        if self._reads:
            fields["read"] = ",".join(self._reads[:_MAX_LOGGED_READS])
        if self._read_ms is not None:
            fields["read_age_ms"] = round(self.clock.monotonic_ms() - self._read_ms)
        if len(self._reads) > _MAX_LOGGED_READS:
            fields["reads"] = len(self._reads)
        if self.revision:
            fields["revision"] = self.revision
        return fields
