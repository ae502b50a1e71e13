"""HTTP interface for clients: submit, read, cancel and count jobs.

Every instance serves requests directly from the store. A submission is accepted once
its record is stored, no matter which instance owns the shard or whether it has an
owner.
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
    Item,
    KeyValueStore,
    Precondition,
    PreconditionError,
    Put,
    Transaction,
    build_pending_response,
    build_state_response,
    decode_job,
    read_client_timeout,
)
from trefoilhook.runtime import keys
from trefoilhook.runtime.configurations import ConfigurationFeed
from trefoilhook.runtime.latejobs import describe_size
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.runtime.request_trace import RequestTrace
from trefoilhook.scheduling import (
    Job,
    JobPhase,
    JobRecord,
    Queue,
    decode_job_record,
    encode_job_record,
)

__all__ = ["JobApi"]

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_RETRY_AFTER_S = 1
"""Value of the ``retry-after`` header, in s. All instances notice the end of a store
outage within a second."""

_DEFAULT_TIMEOUT_MS = 3000.0
"""Timeout of clients that send none, in ms."""

_ANSWER_MARGIN_MS = 250.0
"""Time reserved for the response to reach the client, in ms."""

_RETRY_PAUSE_MS = 60.0
"""Pause before a call to the store is repeated, in ms."""

_COMMIT_TIMEOUT_MS = 500.0
"""Timeout of a submission's transaction, in ms. A lost answer is never sent again, so a
longer timeout only delays the retry. A store ninety times slower than usual answers in
360 ms."""

_UNANSWERED_RETRY_LIMIT_MS = 1200.0
"""Time for which an unanswered submission is retried, in ms; two attempts fit. After
it, the client is told that the outcome is unknown and has time left for another
instance."""

_REJECTED_RETRY_LIMIT_MS = 250.0
"""Time for which calls rejected by the store are retried, in ms. After it, the client
is served sooner by another instance, or by the same one a second later."""

_MAX_PROBE_WAIT_MS = 450.0
"""Maximum wait of a submission for a probe to show whether the store is unavailable, in
ms."""

_MAX_CACHED_PHASES = 2000
"""Maximum number of ended jobs with a cached phase. Each takes 200 bytes."""


_MAX_LOGGED_PATH = 200
"""Maximum length of a logged path, in characters."""


@attrs.frozen(kw_only=True)
class _Target:
    queue: Queue
    job_id: str
    trace: RequestTrace


def _build_unavailable() -> HttpResponse:
    """Build the response to a request that was not executed and may be retried."""
    return HttpResponse(status=503, headers=(("retry-after", str(_RETRY_AFTER_S)),))


def _read_host(request: HttpRequest) -> str:
    """Return the host that a request names, without the port."""
    header = request.get_header("host") or ""
    return header.rpartition(":")[0] or header


def _read_job_id(path: str) -> str:
    """Return the job id that a path ends with, or an empty string."""
    job_id = path.rpartition("/")[2]
    return job_id if _JOB_ID.fullmatch(job_id) else ""


def _refuse_request(target: _Target, why: str, job: Job | None = None) -> HttpResponse:
    target.trace.why = why
    log_event(
        Event.REQUEST_REFUSED,
        **({"job": target.job_id} if target.job_id else {}),
        queue=target.queue.name,
        why=why,
        **target.trace.describe(),
        **(describe_size(job) if job is not None else {}),
    )
    return _build_unavailable()


def _log_failure(target: _Target, status: int, why: str) -> None:
    target.trace.why = why
    log_event(
        Event.REQUEST_FAILED,
        job=target.job_id,
        queue=target.queue.name,
        status=status,
        why=why,
        **target.trace.describe(),
    )


class JobApi:
    """Serves client requests.

    Parameters
    ----------
    store : KeyValueStore
        Store of the jobs.
    clock : Clock
        Time source.
    configurations : ConfigurationFeed
        The configuration in force.
    is_store_reachable : callable
        Returns whether the store has answered recently.
    metrics : ProcessMetrics
        Counts requests and their durations.
    rejections : Rejections
        Receives unreadable records.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        configurations: ConfigurationFeed,
        is_store_reachable: Callable[[], bool],
        metrics: ProcessMetrics,
        rejections: Rejections,
    ) -> None:
        self._rejections = rejections
        self._store = store
        self._clock = clock
        self._configurations = configurations
        self._is_store_reachable = is_store_reachable
        self._metrics = metrics
        self._ended_phases: dict[str, JobPhase] = {}

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Serve one request."""
        trace = RequestTrace(
            clock=self._clock,
            began_ms=self._clock.monotonic_ms(),
            timeout_ms=read_client_timeout(request, default_ms=_DEFAULT_TIMEOUT_MS),
        )
        version = self._configurations.version
        age_ms = self._configurations.measure_age()
        response = await self._answer(request, trace)
        kind = f"{request.method} {response.status}"
        self._metrics.count("requests", kind)
        self._metrics.observe(f"{request.method.lower()}_ms", trace.measure_time())
        log_event(
            Event.REQUEST_HANDLED,
            job=_read_job_id(request.path),
            method=request.method,
            status=response.status,
            path=request.path[:_MAX_LOGGED_PATH],
            version=version,
            **({"age_ms": round(age_ms)} if version else {}),
            timeout_ms=round(trace.timeout_ms),
            **trace.describe(),
            **({"why": trace.why} if trace.why else {}),
        )
        return response

    async def _answer(self, request: HttpRequest, trace: RequestTrace) -> HttpResponse:
        configuration = self._configurations.get_current()
        if configuration is None:
            return self._refuse_unrouted(request, trace)
        path = request.path
        queue = configuration.route(_read_host(request), path)
        if queue is None:
            return HttpResponse(status=404)
        rest = path[len(queue.prefix) :]
        if not rest and request.method == "GET":
            return await self._count(_Target(queue=queue, job_id="", trace=trace))
        if not _JOB_ID.fullmatch(rest):
            return HttpResponse(status=404)
        target = _Target(queue=queue, job_id=rest, trace=trace)
        if request.method == "POST":
            return await self._submit(request, target)
        if request.method == "GET":
            return await self._read(target)
        if request.method == "DELETE":
            return await self._cancel(request, target)
        return HttpResponse(status=405)

    def _refuse_unrouted(
        self, request: HttpRequest, trace: RequestTrace
    ) -> HttpResponse:
        """Refuse a request whose route is unknown; deliver the end of a known job."""
        job_id = _read_job_id(request.path)
        phase = self._ended_phases.get(job_id)
        if request.method == "GET" and phase is not None:
            trace.note_read("cache")
            return build_state_response(phase.value)
        known = self._configurations.configuration
        queue = known.route(_read_host(request), request.path) if known else None
        trace.why = "configuration not current"
        log_event(
            Event.REQUEST_REFUSED,
            **({"job": job_id} if job_id else {}),
            **({"queue": queue.name} if queue is not None else {}),
            why=trace.why,
            **trace.describe(),
        )
        return _build_unavailable()

    # Submission.

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
        marker = keys.waiting_key(keys.SHARD, target.queue.name, target.job_id)
        change = Transaction(
            preconditions=(Precondition(key=key, revision=0),),
            puts=(
                Put(key=key, value=encode_job_record(JobRecord(job=job))),
                Put(key=marker, value=b""),
            ),
        )
        return await self._write(request, target, job, change)

    async def _write(
        self, request: HttpRequest, target: _Target, job: Job, change: Transaction
    ) -> HttpResponse:
        """Write a submission, and report its outcome only if it is known.

        An unanswered call may take effect seconds later. It is repeated with the same
        precondition until one call is answered, which proves that the record is stored.
        Without any answer, the client gets status 504, as the outcome is unknown.
        """
        began_ms = self._clock.monotonic_ms()
        timeout_ms = read_client_timeout(request, default_ms=_DEFAULT_TIMEOUT_MS)
        ambiguous = False
        while True:
            if not ambiguous and not await self._is_store_answering():
                return _refuse_request(target, "store away", job)
            try:
                revision = await self._store.commit(
                    change, timeout_ms=_COMMIT_TIMEOUT_MS
                )
                self._log_acceptance(target, job, began_ms, revision=revision)
                return HttpResponse.from_json({})
            except PreconditionError as error:
                return self._answer_existing(target, job, began_ms, error)
            except StoreUnavailableError as error:
                ambiguous = ambiguous or not error.is_proved_unsent
                reason = str(error)
            except StoreError as error:
                reason = str(error)
            limit_ms = min(_UNANSWERED_RETRY_LIMIT_MS, timeout_ms - _ANSWER_MARGIN_MS)
            if not ambiguous:
                limit_ms = _REJECTED_RETRY_LIMIT_MS
            if await self._wait_for_retry(began_ms + limit_ms):
                continue
            if not ambiguous:
                return _refuse_request(target, reason, job)
            _log_failure(target, 504, reason)
            return HttpResponse(status=504)

    async def _is_store_answering(self) -> bool:
        if self._is_store_reachable():
            await self._store.wait_for_probe_result(_MAX_PROBE_WAIT_MS)
        return self._is_store_reachable()

    async def _wait_for_retry(self, until_ms: float) -> bool:
        """Wait before a retry; return whether it is in time and the store reachable."""
        await self._clock.sleep_ms(_RETRY_PAUSE_MS)
        remaining_ms = max(0.0, until_ms - self._clock.monotonic_ms())
        await self._store.wait_for_probe_result(remaining_ms)
        in_time = self._clock.monotonic_ms() < until_ms
        return in_time and self._is_store_reachable()

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
            **describe_size(job),
            **how,
            **due,
        )

    def _answer_existing(
        self, target: _Target, job: Job, began_ms: float, error: PreconditionError
    ) -> HttpResponse:
        """Answer a submission whose key exists, normally with the same job.

        If another writer has left a value that is not a job record, the submission is
        refused: reporting it as accepted would silently lose the job.
        """
        for item in error.items:
            if self._decode_record(item) is None:
                return _refuse_request(target, "bad record")
        # Stored by an earlier call, of this request or of another one.
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

    # Status.

    async def _read(self, target: _Target) -> HttpResponse:
        phase = self._ended_phases.get(target.job_id)
        if phase is not None:
            target.trace.note_read("cache")
            return build_state_response(phase.value)
        if not self._is_store_reachable():
            return _refuse_request(target, "store away")
        try:
            item = await self._read_item(target)
            if item is None:
                return HttpResponse(status=410)
            record = self._decode_record(item)
            if record is None:
                return _refuse_request(target, "bad record")
            phase = record.phase
            if phase is JobPhase.OPEN:
                progress = keys.progress_key(keys.SHARD, target.job_id)
                target.trace.note_read("progress")
                has_begun = await self._store.get(progress) is not None
                return build_state_response("running" if has_begun else "queued")
        except StoreError as error:
            return _refuse_request(target, str(error))
        self._cache_phase(target.job_id, phase)
        return build_state_response(phase.value)

    async def _read_item(self, target: _Target) -> Item | None:
        target.trace.note_read("record")
        item = await self._store.get(keys.job_key(keys.SHARD, target.job_id))
        target.trace.revision = item.revision if item is not None else 0
        return item

    def _cache_phase(self, job_id: str, phase: JobPhase) -> None:
        """Cache the phase of an ended job, which never changes again."""
        if len(self._ended_phases) >= _MAX_CACHED_PHASES:
            del self._ended_phases[next(iter(self._ended_phases))]
        self._ended_phases[job_id] = phase

    async def _count(self, target: _Target) -> HttpResponse:
        if not self._is_store_reachable():
            return _refuse_request(target, "store away")
        try:
            target.trace.note_read("waiting")
            listing = await self._store.list_items(
                keys.waiting_prefix(keys.SHARD, target.queue.name)
            )
        except StoreError as error:
            return _refuse_request(target, str(error))
        markers = [keys.read_job_id(item.key) for item in listing.items]
        return build_pending_response(
            sum(bool(_JOB_ID.fullmatch(marker)) for marker in markers)
        )

    # Cancellation.

    async def _cancel(self, request: HttpRequest, target: _Target) -> HttpResponse:
        """Cancel a job; return status 504 only if a write may have taken effect."""
        began_ms = self._clock.monotonic_ms()
        timeout_ms = read_client_timeout(request, default_ms=_DEFAULT_TIMEOUT_MS)
        unanswered: list[StoreError] = []
        while True:
            if not unanswered and not self._is_store_reachable():
                return _refuse_request(target, "store away")
            try:
                return await self._try_cancel(target, unanswered)
            except PreconditionError:
                # The job ended or was cancelled between the two calls.
                reason = "changed meanwhile"
            except StoreError as error:
                reason = str(error)
            if await self._wait_for_retry(began_ms + timeout_ms - _ANSWER_MARGIN_MS):
                continue
            if not unanswered:
                return _refuse_request(target, reason)
            _log_failure(target, 504, reason)
            return HttpResponse(status=504)

    async def _try_cancel(
        self, target: _Target, unanswered: list[StoreError]
    ) -> HttpResponse:
        key = keys.job_key(keys.SHARD, target.job_id)
        item = await self._read_item(target)
        if item is None:
            return HttpResponse(status=410)
        record = self._decode_record(item)
        if record is None:
            return _refuse_request(target, "bad record")
        if record.phase is not JobPhase.OPEN:
            return HttpResponse.from_json({})
        cancelled = attrs.evolve(record, phase=JobPhase.CANCELLED)
        queue = record.job.queue
        change = Transaction(
            preconditions=(Precondition(key=key, revision=item.revision),),
            puts=(Put(key=key, value=encode_job_record(cancelled)),),
            removals=(
                keys.progress_key(keys.SHARD, target.job_id),
                keys.waiting_key(keys.SHARD, queue, target.job_id),
            ),
        )
        try:
            revision = await self._store.commit(change)
        except StoreUnavailableError as error:
            if not error.is_proved_unsent:
                unanswered.append(error)
            raise
        log_event(Event.JOB_CANCELLED, job=target.job_id, revision=revision)
        self._cache_phase(target.job_id, JobPhase.CANCELLED)
        return HttpResponse.from_json({})
