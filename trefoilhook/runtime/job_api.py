"""HTTP interface for clients: submit, read, cancel and count jobs.

Every instance serves requests directly from the store. A submission is accepted once
its record is stored, no matter which instance owns the shard or whether it has an
owner.
"""

import math
import re
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

import attrs
import trio

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
from trefoilhook.runtime.client_calls import REJECTED_RETRY_LIMIT_MS, ClientCalls
from trefoilhook.runtime.configurations import ConfigurationFeed
from trefoilhook.runtime.latejobs import describe_services, describe_size
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

_Answer = TypeVar("_Answer")

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_RETRY_AFTER_S = 1
"""Value of the ``retry-after`` header, in s. All instances notice the end of a store
outage within a second."""

_DEFAULT_TIMEOUT_MS = 3000.0
"""Timeout of clients that send none, in ms."""

_COMMIT_TIMEOUT_MS = 500.0
"""Timeout of a submission's transaction, in ms. A lost answer is never sent again, so a
longer timeout only delays the retry. A store ninety times slower than usual answers in
360 ms."""

_UNANSWERED_RETRY_LIMIT_MS = 1200.0
"""Time for which an unanswered submission is retried, in ms; two attempts fit. After
it, the client is told that the outcome is unknown and has time left for another
instance."""

_CANCEL_TIMEOUT_MS = 1000.0
"""Timeout of a cancellation's transaction, in ms. A read then shows a lost outcome."""

_MAX_CACHED_PHASES = 2000
"""Maximum number of ended jobs with a cached phase. Each takes 400 bytes."""

_MAX_BEGUN_JOBS = 2000
"""Maximum number of jobs that are known to have begun. Each takes 200 bytes."""

_MAX_LOGGED_PATH = 200
"""Maximum length of a logged path, in characters."""


@attrs.frozen(kw_only=True)
class _Lookup:
    """A request by job id, whose queue may not be known.

    Parameters
    ----------
    job_id : str
        The job; empty if the request is not for a job.
    trace : RequestTrace
        Records what the answer is based on.
    location : str
        Host and path prefix that the job's record must have; empty if the route shows
        that the path is the job's.
    """

    job_id: str
    trace: RequestTrace
    location: str = ""

    def is_located(self, location: str) -> bool:
        """Return whether a job with a location may be told of."""
        return not self.location or self.location == location


@attrs.frozen(kw_only=True)
class _Target(_Lookup):
    """A request whose queue is known."""

    queue: Queue


@attrs.frozen(kw_only=True)
class _EndedJob:
    phase: JobPhase
    location: str


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


def _refuse_request(
    target: _Lookup,
    why: str,
    job: Job | None = None,
    *,
    fields: Mapping[str, int] | None = None,
) -> HttpResponse:
    target.trace.why = why
    log_event(
        Event.REQUEST_REFUSED,
        **({"job": target.job_id} if target.job_id else {}),
        **({"queue": target.queue.name} if isinstance(target, _Target) else {}),
        why=why,
        **(fields or {}),
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
        self._calls = ClientCalls(
            store=store, clock=clock, is_reachable=is_store_reachable
        )
        self._metrics = metrics
        self._ended: dict[str, _EndedJob] = {}
        self._begun: dict[str, None] = {}

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Serve one request."""
        trace = RequestTrace(
            clock=self._clock,
            began_ms=self._clock.monotonic_ms(),
            timeout_ms=read_client_timeout(request, default_ms=_DEFAULT_TIMEOUT_MS),
        )
        version = self._configurations.version
        age_ms = self._configurations.measure_age()
        try:
            response = await self._answer(request, trace)
        finally:
            # A cancellation may be part of a group of exceptions.
            if trio.current_effective_deadline() == -math.inf:
                self._log_cut_off(request, trace)
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

    def _log_cut_off(self, request: HttpRequest, trace: RequestTrace) -> None:
        """Log a request that ends with its process; it had no answer."""
        log_event(
            Event.REQUEST_CUT_OFF,
            job=_read_job_id(request.path),
            method=request.method,
            path=request.path[:_MAX_LOGGED_PATH],
            timeout_ms=round(trace.timeout_ms),
            **trace.describe(),
        )

    async def _answer(self, request: HttpRequest, trace: RequestTrace) -> HttpResponse:
        configuration = self._configurations.get_current()
        if configuration is None:
            return await self._answer_unrouted(request, trace)
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
            return await self._cancel(target)
        return HttpResponse(status=405)

    async def _answer_unrouted(
        self, request: HttpRequest, trace: RequestTrace
    ) -> HttpResponse:
        """Deliver the state of a job that is found; refuse all else.

        A newer configuration may have added or removed the route. It doesn't change the
        state of a job that is stored, but a missing one can't be told from one of a
        route that is gone. If the route is not known, the record must confirm the path,
        unless this instance has seen the route removed.
        """
        job_id = _read_job_id(request.path)
        host = _read_host(request)
        known = self._configurations.configuration
        queue = known.route(host, request.path) if known else None
        prefix = request.path.removesuffix(job_id)
        target = _Lookup(job_id=job_id, trace=trace, location=host + prefix)
        if queue is not None and request.path == queue.prefix + job_id:
            target = _Target(queue=queue, job_id=job_id, trace=trace)
        may_be_known = job_id in self._ended or self._calls.is_reachable()
        is_dropped = self._configurations.is_dropped(host, prefix)
        if job_id and request.method == "GET" and may_be_known and not is_dropped:
            response = await self._read(target)
            if response.status != 410:
                return response
        return self._refuse_outdated(target)

    def _refuse_outdated(self, target: _Lookup) -> HttpResponse:
        return _refuse_request(
            target,
            "configuration not current",
            fields=self._configurations.describe_age(),
        )

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
        record = JobRecord(job=job, queue=target.queue)
        change = Transaction(
            preconditions=(Precondition(key=key, revision=0),),
            puts=(
                Put(key=key, value=encode_job_record(record)),
                Put(key=marker, value=b""),
            ),
        )
        return await self._write(target, job, change)

    async def _write(
        self, target: _Target, job: Job, change: Transaction
    ) -> HttpResponse:
        """Write a submission, and report its outcome only if it is known.

        An unanswered call may take effect seconds later. It is repeated with the same
        precondition until one call is answered, which proves that the record is stored.
        Without any answer, the client gets status 504, as the outcome is unknown.
        """
        began_ms = target.trace.began_ms
        until_ms = target.trace.until_ms
        ambiguous = False
        while True:
            if not ambiguous and not await self._calls.is_answering(until_ms):
                return _refuse_request(target, "store away", job)
            left_ms = self._calls.measure_left(until_ms)
            if not ambiguous and not left_ms:
                return _refuse_request(target, "no time left", job)
            try:
                revision = await self._store.commit(
                    change, timeout_ms=min(_COMMIT_TIMEOUT_MS, max(1.0, left_ms))
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
            limit_ms = _UNANSWERED_RETRY_LIMIT_MS
            if not ambiguous:
                limit_ms = REJECTED_RETRY_LIMIT_MS
            if await self._calls.wait_for_retry(min(until_ms, began_ms + limit_ms)):
                continue
            if not ambiguous:
                return _refuse_request(target, reason, job)
            _log_failure(target, 504, reason)
            return HttpResponse(status=504)

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
            **describe_services(job),
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

    async def _read(self, target: _Lookup) -> HttpResponse:
        ended = self._ended.get(target.job_id)
        if ended is not None and target.is_located(ended.location):
            target.trace.note_read("cache")
            return build_state_response(ended.phase.value)
        if not self._calls.is_reachable():
            return _refuse_request(target, "store away")
        try:
            item = await self._read_item(target)
            if item is None:
                return HttpResponse(status=410)
            record = self._decode_record(item)
            if record is None:
                return _refuse_request(target, "bad record")
            if not target.is_located(record.location):
                return self._refuse_outdated(target)
            if record.phase is JobPhase.OPEN:
                has_begun = await self._has_begun(target)
                return build_state_response("running" if has_begun else "queued")
        except StoreError as error:
            return _refuse_request(target, str(error))
        self._cache_end(record)
        return build_state_response(record.phase.value)

    async def _read_item(self, target: _Lookup) -> Item | None:
        key = keys.job_key(keys.SHARD, target.job_id)
        item = await self._call(target, "record", lambda: self._store.get(key))
        target.trace.revision = item.revision if item is not None else 0
        return item

    async def _has_begun(self, target: _Lookup) -> bool:
        """Return whether a task of an open job has started, which stays so."""
        if target.job_id in self._begun:
            return True
        key = keys.progress_key(keys.SHARD, target.job_id)
        item = await self._call(target, "progress", lambda: self._store.get(key))
        if item is None:
            return False
        if len(self._begun) >= _MAX_BEGUN_JOBS:
            del self._begun[next(iter(self._begun))]
        self._begun[target.job_id] = None
        return True

    async def _call(
        self, target: _Lookup, name: str, read: Callable[[], Awaitable[_Answer]]
    ) -> _Answer:
        """Read from the store in the time that the client has left."""

        async def read_once() -> _Answer:
            sent_ms = self._clock.monotonic_ms()
            target.trace.note_read(name)
            answer = await read()
            target.trace.note_answer(sent_ms)
            return answer

        return await self._calls.read(read_once, until_ms=target.trace.until_ms)

    def _cache_end(self, record: JobRecord) -> None:
        """Cache the phase of an ended job, which never changes again."""
        self._begun.pop(record.job.job_id, None)
        if len(self._ended) >= _MAX_CACHED_PHASES:
            del self._ended[next(iter(self._ended))]
        self._ended[record.job.job_id] = _EndedJob(
            phase=record.phase, location=record.location
        )

    async def _count(self, target: _Target) -> HttpResponse:
        if not self._calls.is_reachable():
            return _refuse_request(target, "store away")
        prefix = keys.waiting_prefix(keys.SHARD, target.queue.name)
        try:
            listing = await self._call(
                target, "waiting", lambda: self._store.list_items(prefix)
            )
        except StoreError as error:
            return _refuse_request(target, str(error))
        markers = [keys.read_job_id(item.key) for item in listing.items]
        return build_pending_response(
            sum(bool(_JOB_ID.fullmatch(marker)) for marker in markers)
        )

    # Cancellation.

    async def _cancel(self, target: _Target) -> HttpResponse:
        """Cancel a job; return status 504 only if a write may have taken effect."""
        unanswered: list[StoreError] = []
        while True:
            if not unanswered and not self._calls.is_reachable():
                return _refuse_request(target, "store away")
            try:
                return await self._try_cancel(target, unanswered)
            except PreconditionError:
                # The job ended or was cancelled between the two calls.
                reason = "changed meanwhile"
            except StoreError as error:
                reason = str(error)
            if await self._calls.wait_for_retry(target.trace.until_ms):
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
        left_ms = max(1.0, self._calls.measure_left(target.trace.until_ms))
        try:
            revision = await self._store.commit(
                change, timeout_ms=min(_CANCEL_TIMEOUT_MS, left_ms)
            )
        except StoreUnavailableError as error:
            if not error.is_proved_unsent:
                unanswered.append(error)
            raise
        log_event(Event.JOB_CANCELLED, job=target.job_id, revision=revision)
        self._cache_end(cancelled)
        return HttpResponse.from_json({})
