"""Lists evacuations of failure domains from the logs of all instances."""

from collections.abc import Iterable

import attrs

from trefoilhook.story import LogLine

__all__ = ["EvacuationReport", "list_evacuations"]

_COUNTS = ("runs", "long_running", "busy_workers")


@attrs.define(kw_only=True)
class EvacuationReport:
    """One evacuation of a failure domain.

    Parameters
    ----------
    failure_domain : str
        Name of the failure domain, as spelled by the operator.
    began_s : float
        When the first instance learned of the evacuation, in s since the Unix epoch.
    ended_s : float or None
        When the first instance learned of its end, in s since the Unix epoch; None
        while the evacuation is in force.
    instances : list of str
        Instances that learned of the evacuation, in the order in which they did.
    counted_s : float or None
        When the remaining runs were last counted, in s since the Unix epoch; None if
        they never were.
    runs, long_running, busy_workers : int
        At that count: remaining runs, those of them that last until their jobs are
        cancelled, and workers with remaining runs.
    """

    failure_domain: str
    began_s: float
    ended_s: float | None = None
    instances: list[str] = attrs.Factory(list)
    counted_s: float | None = None
    runs: int = 0
    long_running: int = 0
    busy_workers: int = 0

    def add_instance(self, instance: str) -> None:
        """Add an instance that learned of the evacuation, unless already listed."""
        if instance not in self.instances:
            self.instances.append(instance)

    def record_end(self, line: LogLine) -> None:
        """Set the end from an ``EVACUATION_ENDED`` line, unless already set."""
        if self.ended_s is None:
            self.ended_s = line.time_s

    def record_count(self, line: LogLine) -> None:
        """Take in a line with the remaining runs, if its counts can be read."""
        values = [line.fields.get(name) for name in _COUNTS]
        counts = [value for value in values if isinstance(value, int)]
        if len(counts) == len(_COUNTS):
            self.counted_s = line.time_s
            self.runs, self.long_running, self.busy_workers = counts


def list_evacuations(lines: Iterable[LogLine]) -> list[EvacuationReport]:
    """List the evacuations found in log lines, sorted by when they began.

    A restarted instance logs the evacuations in force again. Lines with the same
    failure domain and entry revision belong to the same evacuation.
    """
    by_revision: dict[tuple[str, object], EvacuationReport] = {}
    latest: dict[str, EvacuationReport] = {}
    for line in sorted(lines, key=lambda each: each.time_s):
        name = str(line.fields.get("failure_domain", ""))
        if line.event == "EVACUATION_BEGUN":
            key = name, line.fields.get("revision")
            if key not in by_revision:
                by_revision[key] = latest[name] = EvacuationReport(
                    failure_domain=name, began_s=line.time_s
                )
            by_revision[key].add_instance(line.instance)
        elif line.event == "EVACUATION_LEFT" and name in latest:
            latest[name].record_count(line)
        elif line.event == "EVACUATION_ENDED" and name in latest:
            latest[name].record_end(line)
    return list(by_revision.values())
