"""Evidence of a run of daemon processes, for the message of a failed test.

The processes run in real time, so a failure may not recur, and the folder with their
logs is removed after the test. The message must suffice to diagnose the failure.
"""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path

import attrs

from trefoilhook.clock import Clock
from trefoilhook.results import ResultCode
from trefoilhook.standins.executor import RunRecord

__all__ = ["Exchange", "Evidence"]

_MS_PER_S = 1000.0
_DELAY_INTERVAL_MS = 50.0
_MIN_DELAY_MS = 200.0
_REQUEST_FAILED = "REQUEST_FAILED"
_EVENT_FIELDS = frozenset({"event", "event_name"})
_NO_ANSWER = "no answer"

_MAX_LINES = 150
"""Maximum number of lines of each kind; CI may keep only the last 1000 lines."""


@attrs.frozen(kw_only=True)
class Exchange:
    """A caller's request and its answer.

    Parameters
    ----------
    started_ms, ended_ms : float
        Wall-clock times at which the request was sent and ended, in ms.
    entry_id : str
        Instance that the request was sent to.
    request_id : str
        Id of the request at the executors.
    code : ResultCode or None
        Result code; None if no complete answer arrived.
    answered_by, executor_id : str
        Instance and executor named in the answer; empty if there is none.
    """

    started_ms: float
    ended_ms: float
    entry_id: str
    request_id: str
    code: ResultCode | None = None
    answered_by: str = ""
    executor_id: str = ""


@attrs.define(kw_only=True, eq=False)
class Evidence:
    """Records of one run, collected outside the daemon processes.

    Parameters
    ----------
    clock : Clock
        Clock of the recorded times.
    folder : Path
        Folder with the log ``ID.log`` of each instance.
    exchanges : list of Exchange
        Callers' requests so far.
    """

    clock: Clock
    folder: Path
    exchanges: list[Exchange] = attrs.field(factory=list)
    _started_ms: float = attrs.field(init=False)
    _signals: list[tuple[float, str]] = attrs.field(factory=list, init=False)
    _delays: list[tuple[float, float]] = attrs.field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        self._started_ms = self.clock.wall_ms()

    def record_signal(self, instance_id: str, number: int) -> None:
        """Record that the test sends a signal to an instance."""
        self._signals.append(
            (self.clock.wall_ms(), f"signal {number} to {instance_id}")
        )

    async def watch_delays(self) -> None:
        """Record scheduling delays of this process, which runs the stand-ins."""
        while True:
            due_ms = self.clock.monotonic_ms() + _DELAY_INTERVAL_MS
            await self.clock.sleep_ms(_DELAY_INTERVAL_MS)
            late_ms = self.clock.monotonic_ms() - due_ms
            if late_ms >= _MIN_DELAY_MS:
                self._delays.append((self.clock.wall_ms(), late_ms))

    def describe(self, runs: Mapping[str, Sequence[RunRecord]]) -> str:
        """Return the counts of result codes, the events and the failed requests.

        Events, delays of this process and failed requests are each listed in order of
        time.

        Parameters
        ----------
        runs : mapping of str to sequence of RunRecord
            Requests that each executor ran.
        """
        codes = Counter(_format_code(each) for each in self.exchanges)
        lines = [
            "times in s from the start of the run",
            f"callers: {dict(codes.most_common())}",
        ]
        events = [*self._read_events(), *self._signals]
        delays = [
            (at_ms, f"the test's process was {late_ms:.0f} ms late")
            for at_ms, late_ms in self._delays
        ]
        parts = (events, delays, self._list_failures(runs))
        return "\n".join(
            [*lines, *(line for each in parts for line in self._format(each))]
        )

    def _read_events(self) -> list[tuple[float, str]]:
        """Return the events of all instances except failures of single requests.

        Lines that are not events, such as tracebacks, carry the current time.
        """
        found: list[tuple[float, str]] = []
        for path in sorted(self.folder.glob("*.log")):
            text = path.read_text(encoding="utf-8", errors="replace")
            for line in text.splitlines():
                try:
                    record = json.loads(line)["record"]
                    extra = record["extra"]
                    name = extra["event_name"]
                    at_ms = record["time"]["timestamp"] * _MS_PER_S
                except (ValueError, KeyError, TypeError):
                    found.append((self.clock.wall_ms(), f"{path.stem} {line}"))
                    continue
                if name == _REQUEST_FAILED:
                    continue
                fields = {k: v for k, v in extra.items() if k not in _EVENT_FIELDS}
                found.append((at_ms, f"{path.stem} {name} {fields}"))
        return found

    def _list_failures(
        self, runs: Mapping[str, Sequence[RunRecord]]
    ) -> list[tuple[float, str]]:
        """Return the requests answered with a result code other than OK."""
        starts: defaultdict[str, list[str]] = defaultdict(list)
        for executor_id, records in runs.items():
            for run in records:
                at_s = (run.started_ms - self._started_ms) / _MS_PER_S
                starts[run.request_id].append(f"{executor_id} at {at_s:.2f}")
        return [
            (
                each.started_ms,
                f"{each.request_id} through {each.entry_id}: {_format_code(each)} "
                f"after {each.ended_ms - each.started_ms:.0f} ms from "
                f"{each.answered_by or '-'}, {each.executor_id or '-'}; "
                f"run by {', '.join(starts[each.request_id]) or 'none'}",
            )
            for each in self.exchanges
            if each.code not in (ResultCode.OK, None)
        ]

    def _format(self, entries: Iterable[tuple[float, str]]) -> list[str]:
        ordered = sorted(entries)
        lines = [
            f"{(at_ms - self._started_ms) / _MS_PER_S:.2f} {text}"
            for at_ms, text in ordered[:_MAX_LINES]
        ]
        if len(ordered) > _MAX_LINES:
            lines.append(f"{len(ordered) - _MAX_LINES} more lines")
        return lines


def _format_code(exchange: Exchange) -> str:
    return exchange.code.name if exchange.code is not None else _NO_ANSWER
