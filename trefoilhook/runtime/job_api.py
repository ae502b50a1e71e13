"""What clients ask of an instance: submit, read, cancel and count jobs.

Every instance answers by itself, out of the store: a submission is accepted once its
record stands there, whoever owns the shard, and whether or not it has an owner.
"""

import re
from collections.abc import Callable

import attrs

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    DecodeError,
    RequestError,
    StoreError,
    StoreUnavailableError,
)
from trefoilhook.http import HttpRequest, HttpResponse
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import (
    Expectation,
    Item,
    KeyValueStore,
    PreconditionError,
    Put,
    Transaction,
    answer_pending,
    answer_state,
    decode_job,
    read_client_timeout,
)
from trefoilhook.runtime import keys
from trefoilhook.runtime.metrics import Figures
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.scheduling import (
    Configuration,
    Job,
    JobPhase,
    JobRecord,
    Queue,
    decode_job_record,
    encode_job_record,
)

__all__ = ["Intake"]

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_RETRY_AFTER_S = 1
"""When a client that was turned away should come back, in s: a store that was away is
back for the whole fleet within a second of its return."""

_DEFAULT_TIMEOUT_MS = 3000.0
"""How long a client waits that doesn't say so, in ms."""

_ANSWER_MARGIN_MS = 250.0
"""Time left for the answer to reach its client in, in ms."""

_RETRY_PAUSE_MS = 60.0
"""Pause before a call to the store is made again, in ms."""

_COMMIT_TIMEOUT_MS = 500.0
"""Longest time for the answer to a submission's transaction, in ms. A lost answer
leaves its connection silent, so a longer one only delays the next try; 360 ms is what
an answer takes from a store ninety times slower than usual."""

_UNKNOWN_LIMIT_MS = 1200.0
"""How long a submission without an answer of the store is tried again, in ms: two tries
of the above. Past that the store is away for this instance; the client, told so, can
ask another one in the time that it has left."""

_TURNED_AWAY_LIMIT_MS = 250.0
"""How long calls that the store turns away are tried again, in ms: past that another
instance, or the same a second later, serves the client sooner."""

_ENDED_KEPT = 2000
"""Ended jobs whose phase is remembered; one takes 200 bytes."""


@attrs.frozen(kw_only=True)
class _Target:
    queue: Queue
    job_id: str


def _refuse() -> HttpResponse:
    """Answer that the request has not run, and when to come back."""
    return HttpResponse(status=503, headers=(("retry-after", str(_RETRY_AFTER_S)),))


def _refuse_request(target: _Target, why: str) -> HttpResponse:
    log_event(
        Event.REQUEST_REFUSED, job=target.job_id, queue=target.queue.name, why=why
    )
    return _refuse()


def _log_failure(target: _Target, status: int, why: str) -> None:
    log_event(
        Event.REQUEST_FAILED,
        job=target.job_id,
        queue=target.queue.name,
        status=status,
        why=why,
    )


class Intake:
    """Answers clients.

    Parameters
    ----------
    store : KeyValueStore
        Where jobs are kept.
    clock : Clock
        Where time comes from.
    read_configuration : callable
        Returns the configuration in force; None before the first.
    is_store_reachable : callable
        Tells whether the store has answered lately.
    figures : Figures
        Where requests are counted.
    rejections : Rejections
        Told of records that can't be read.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        read_configuration: Callable[[], Configuration | None],
        is_store_reachable: Callable[[], bool],
        figures: Figures,
        rejections: Rejections,
    ) -> None:
        self._rejections = rejections
        self._store = store
        self._clock = clock
        self._read_configuration = read_configuration
        self._is_store_reachable = is_store_reachable
        self._figures = figures
        self._ended: dict[str, JobPhase] = {}

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        began_ms = self._clock.monotonic_ms()
        response = await self._answer(request)
        kind = f"{request.method} {response.status}"
        self._figures.count("requests", kind)
        duration_ms = self._clock.monotonic_ms() - began_ms
        self._figures.observe(f"{request.method.lower()}_ms", duration_ms)
        return response

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        configuration = self._read_configuration()
        if configuration is None:
            return _refuse()
        host = (request.get_header("host") or "").rpartition(":")[0]
        host = host or request.get_header("host") or ""
        path = request.path
        queue = configuration.route(host, path)
        if queue is None:
            return HttpResponse(status=404)
        rest = path[len(queue.prefix) :]
        if not rest and request.method == "GET":
            return await self._count(queue)
        if not _JOB_ID.fullmatch(rest):
            return HttpResponse(status=404)
        target = _Target(queue=queue, job_id=rest)
        if request.method == "POST":
            return await self._submit(request, target)
        if request.method == "GET":
            return await self._read(target)
        if request.method == "DELETE":
            return await self._cancel(request, target)
        return HttpResponse(status=405)

    # Submitting.

    async def _submit(self, request: HttpRequest, target: _Target) -> HttpResponse:
        try:
            job = decode_job(
                request.body,
                job_id=target.job_id,
                queue=target.queue.name,
                accepted_ms=self._clock.wall_ms(),
            )
        except RequestError as error:
            _log_failure(target, 400, str(error))
            return HttpResponse(status=400)
        key = keys.job_key(keys.SHARD, target.job_id)
        mark = keys.waiting_key(keys.SHARD, target.queue.name, target.job_id)
        change = Transaction(
            expectations=(Expectation(key=key, revision=0),),
            puts=(
                Put(key=key, value=encode_job_record(JobRecord(job=job))),
                Put(key=mark, value=b""),
            ),
        )
        return await self._write(request, target, job, change)

    async def _write(
        self, request: HttpRequest, target: _Target, job: Job, change: Transaction
    ) -> HttpResponse:
        """Write a submission; answer only what is known of it.

        A call without an answer may be carried out seconds later. It is sent again
        under the same condition until one is answered: then the record stands, by the
        one or by the other. Without any answer the client is told neither.
        """
        began_ms = self._clock.monotonic_ms()
        timeout_ms = read_client_timeout(request, default_ms=_DEFAULT_TIMEOUT_MS)
        ambiguous = False
        if not self._is_store_reachable():
            return _refuse_request(target, "store away")
        while True:
            try:
                revision = await self._store.commit(
                    change, timeout_ms=_COMMIT_TIMEOUT_MS
                )
                self._log_acceptance(target, job, began_ms, revision=revision)
                return HttpResponse.from_json({})
            except PreconditionError as error:
                return self._answer_known(target, job, began_ms, error)
            except StoreUnavailableError as error:
                ambiguous = ambiguous or not error.is_proved_unsent
                reason = str(error)
            except StoreError as error:
                reason = str(error)
            spent_ms = self._clock.monotonic_ms() - began_ms
            if not ambiguous and spent_ms > _TURNED_AWAY_LIMIT_MS:
                return _refuse_request(target, reason)
            limit_ms = min(_UNKNOWN_LIMIT_MS, timeout_ms - _ANSWER_MARGIN_MS)
            if ambiguous and spent_ms > limit_ms:
                _log_failure(target, 504, reason)
                return HttpResponse(status=504)
            await self._clock.sleep_ms(_RETRY_PAUSE_MS)

    def _log_acceptance(
        self, target: _Target, job: Job, began_ms: float, **how: int
    ) -> None:
        objective_ms = target.queue.compute_objective(job)
        due = {} if objective_ms is None else {"objective_ms": round(objective_ms)}
        log_event(
            Event.JOB_ACCEPTED,
            job=target.job_id,
            queue=target.queue.name,
            ms=round(self._clock.monotonic_ms() - began_ms),
            **how,
            **due,
        )

    def _answer_known(
        self, target: _Target, job: Job, began_ms: float, error: PreconditionError
    ) -> HttpResponse:
        """Answer a submission whose key is taken: by the same job, as it should be.

        What another writer left there is no job: to call it accepted would lose the
        submission without a word.
        """
        for item in error.items:
            if self._decode_record(item) is None:
                return _refuse_request(target, "bad record")
        # By an earlier call of this one or another request: which, is unknown.
        self._log_acceptance(target, job, began_ms, known=True)
        return HttpResponse.from_json({})

    def _decode_record(self, item: Item) -> JobRecord | None:
        try:
            record = decode_job_record(item.value)
        except DecodeError as error:
            self._rejections.report(
                Event.ENTRY_INVALID, item.key, str(error), revision=item.revision
            )
            return None
        self._rejections.accept(Event.ENTRY_INVALID, item.key)
        return record

    # Reading.

    async def _read(self, target: _Target) -> HttpResponse:
        phase = self._ended.get(target.job_id)
        if phase is not None:
            return answer_state(phase.value)
        try:
            item = await self._store.get(keys.job_key(keys.SHARD, target.job_id))
            if item is None:
                return HttpResponse(status=410)
            record = self._decode_record(item)
            if record is None:
                return _refuse()
            phase = record.phase
            if phase is JobPhase.OPEN:
                progress = keys.progress_key(keys.SHARD, target.job_id)
                has_begun = await self._store.get(progress) is not None
                return answer_state("running" if has_begun else "queued")
        except StoreError as error:
            return _refuse_request(target, str(error))
        self._remember(target.job_id, phase)
        return answer_state(phase.value)

    def _remember(self, job_id: str, phase: JobPhase) -> None:
        """Remember the phase of an ended job, which never changes again."""
        if len(self._ended) >= _ENDED_KEPT:
            del self._ended[next(iter(self._ended))]
        self._ended[job_id] = phase

    async def _count(self, queue: Queue) -> HttpResponse:
        try:
            listing = await self._store.list_items(
                keys.waiting_prefix(keys.SHARD, queue.name)
            )
        except StoreError as error:
            log_event(Event.REQUEST_REFUSED, queue=queue.name, why=str(error))
            return _refuse()
        marks = [keys.read_job_id(item.key) for item in listing.items]
        return answer_pending(sum(bool(_JOB_ID.fullmatch(mark)) for mark in marks))

    # Cancelling.

    async def _cancel(self, request: HttpRequest, target: _Target) -> HttpResponse:
        began_ms = self._clock.monotonic_ms()
        timeout_ms = read_client_timeout(request, default_ms=_DEFAULT_TIMEOUT_MS)
        while True:
            try:
                return await self._try_cancel(target)
            except PreconditionError:
                # The job ended, or was cancelled, between the two calls.
                reason = "changed meanwhile"
            except StoreError as error:
                reason = str(error)
            spent_ms = self._clock.monotonic_ms() - began_ms
            if spent_ms > timeout_ms - _ANSWER_MARGIN_MS:
                _log_failure(target, 504, reason)
                return HttpResponse(status=504)
            await self._clock.sleep_ms(_RETRY_PAUSE_MS)

    async def _try_cancel(self, target: _Target) -> HttpResponse:
        key = keys.job_key(keys.SHARD, target.job_id)
        item = await self._store.get(key)
        if item is None:
            return HttpResponse(status=410)
        record = self._decode_record(item)
        if record is None:
            return _refuse()
        if record.phase is not JobPhase.OPEN:
            return HttpResponse.from_json({})
        cancelled = attrs.evolve(record, phase=JobPhase.CANCELLED)
        queue = record.job.queue
        revision = await self._store.commit(
            Transaction(
                expectations=(Expectation(key=key, revision=item.revision),),
                puts=(Put(key=key, value=encode_job_record(cancelled)),),
                removals=(
                    keys.progress_key(keys.SHARD, target.job_id),
                    keys.waiting_key(keys.SHARD, queue, target.job_id),
                ),
            )
        )
        log_event(Event.JOB_CANCELLED, job=target.job_id, revision=revision)
        self._remember(target.job_id, JobPhase.CANCELLED)
        return HttpResponse.from_json({})
