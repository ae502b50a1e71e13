"""Routing of a request to an executor's owner, with retries and hedging."""

import math

import attrs
import trio

from trefoilhook.exceptions import AnswerLostError, NotSentError, TrefoilhookError
from trefoilhook.requests.dispatch import MarkSent, run_locally
from trefoilhook.requests.models import CallerAnswer, ExecutorTarget
from trefoilhook.requests.pending import (
    Components,
    PendingRequest,
    decode_answer,
    encode_request,
)
from trefoilhook.requests.retry import OWNER_MOVED_CODES
from trefoilhook.requests.routing import (
    Candidate,
    ReportedLoad,
    Route,
    choose_route,
)
from trefoilhook.results import Outcome, ResultCode

__all__ = ["coordinate"]

_MS_PER_S = 1000.0
_MAX_ATTEMPTS = 5
_INITIAL_BACKOFF_MS = 10.0
_OWNER_UNAVAILABLE_CODES = frozenset(
    {
        ResultCode.NO_OWNER,
        ResultCode.OWNER_UNREACHABLE,
        ResultCode.SHUTTING_DOWN,
    }
)


@attrs.define(kw_only=True, eq=False)
class _Refusals:
    """Owners that refused this request.

    Parameters
    ----------
    owner_ids : set of str
        IDs of the owners; the empty string stands for this instance.
    """

    owner_ids: set[str] = attrs.field(factory=set)


async def coordinate(
    components: Components,
    pending: PendingRequest,
    *,
    mark_sent: MarkSent,
    entry_id: str,
) -> CallerAnswer:
    """Run a request on any executor of its service, once unless it is idempotent.

    Parameters
    ----------
    components : Components
        Components shared by all roles.
    pending : PendingRequest
        The request.
    mark_sent : callable
        Called with whether any byte may have been sent to an executor.
    entry_id : str
        Instance that received the request from the caller.

    Notes
    -----
    If an executor's owner is unavailable, the answer is NO_EXECUTOR. The entry can thus
    distinguish it from a refusal by an instance that does not own the key.
    """
    components.retries.record_request(pending.service_name)
    hedge_ms = components.hedges.get_delay_ms(
        pending.service_name, is_idempotent=pending.is_idempotent
    )
    started_ms = components.clock.monotonic_ms()
    if math.isinf(hedge_ms):
        answer = await _run_with_retries(
            components, pending, mark_sent=mark_sent, entry_id=entry_id
        )
    else:
        answer = await _run_hedged(
            components,
            pending,
            mark_sent=mark_sent,
            entry_id=entry_id,
            delay_ms=hedge_ms,
        )
    if answer.code is ResultCode.OK:
        run_ms = components.clock.monotonic_ms() - started_ms
        components.hedges.add_sample(pending.service_name, run_ms)
    if answer.code in _OWNER_UNAVAILABLE_CODES:
        return attrs.evolve(answer, code=ResultCode.NO_EXECUTOR)
    return answer


async def _run_with_retries(
    components: Components,
    pending: PendingRequest,
    *,
    mark_sent: MarkSent,
    entry_id: str,
) -> CallerAnswer:
    refusals = _Refusals()
    answer = components.refuse(ResultCode.NO_EXECUTOR)
    backoff_ms = _INITIAL_BACKOFF_MS
    for _ in range(_MAX_ATTEMPTS):
        route = _choose_route(components, pending, refusals)
        if route is None:
            return answer
        if route.owner_id:
            answer = await _run_remotely(
                components, pending, route, mark_sent=mark_sent, entry_id=entry_id
            )
        else:
            answer = await run_locally(components, pending, mark_sent=mark_sent)
        if components.clock.monotonic_ms() >= pending.deadline_ms:
            return answer
        if not components.retries.may_retry(
            pending.service_name, answer.code, is_idempotent=pending.is_idempotent
        ):
            return answer
        if answer.code in OWNER_MOVED_CODES:
            # Instances learn of an ownership change at different times, so the owner is
            # looked up again after a short wait instead of refusing the request.
            await components.clock.sleep_ms(backoff_ms)
            backoff_ms *= 2
        elif answer.code.outcome is Outcome.NOT_RUN:
            refusals.owner_ids.add(route.owner_id)
    return answer


def _choose_route(
    components: Components, pending: PendingRequest, refusals: _Refusals
) -> Route | None:
    own = None
    if "" not in refusals.owner_ids:
        # Common case, decided without listing the executors of other instances.
        if components.pool.has_free(pending.service_name):
            return Route()
        own = components.pool.get_service_load(pending.service_name)
        is_present = own.usable or own.free or own.queued
        own = (
            own
            if is_present or components.pool.owns_any(pending.service_name)
            else None
        )
    return choose_route(
        own=own,
        candidates=_list_candidates(components, pending, refusals),
        generator=components.generator,
    )


def _list_candidates(
    components: Components, pending: PendingRequest, refusals: _Refusals
) -> list[Candidate]:
    now_ms = components.clock.monotonic_ms()
    candidates: list[Candidate] = []
    for target in components.list_executors():
        if target.service_name != pending.service_name or target.is_leaving:
            continue
        owner = components.find_executor_owner(target)
        if owner is None or owner.instance_id == components.instance_id:
            continue
        if owner.instance_id in refusals.owner_ids:
            continue
        load = components.peer_loads.find(
            target.executor_id, owner_id=owner.instance_id, now_ms=now_ms
        )
        candidates.append(_build_candidate(components, target, owner.instance_id, load))
    return candidates


def _build_candidate(
    components: Components,
    target: ExecutorTarget,
    owner_id: str,
    load: ReportedLoad | None,
) -> Candidate:
    is_same_domain = target.failure_domain == components.failure_domain
    if load is None or not load.is_usable:
        return Candidate(
            executor_id=target.executor_id,
            owner_id=owner_id,
            free=0,
            queued_per_slot=0.0,
            is_same_domain=is_same_domain,
            is_known=False,
        )
    free = (
        load.slots - load.in_use - components.peer_loads.count_sent(target.executor_id)
    )
    return Candidate(
        executor_id=target.executor_id,
        owner_id=owner_id,
        free=max(0, free),
        queued_per_slot=(load.queued + max(0, -free)) / max(1, load.slots),
        is_same_domain=is_same_domain,
    )


async def _run_remotely(
    components: Components,
    pending: PendingRequest,
    route: Route,
    *,
    mark_sent: MarkSent,
    entry_id: str,
) -> CallerAnswer:
    """Forward a request to the owner of the selected executor."""
    remaining_ms = pending.deadline_ms - components.clock.monotonic_ms()
    if remaining_ms <= 0:
        return components.refuse(ResultCode.QUEUE_DEADLINE)
    message = encode_request(
        pending, executor_id=route.executor_id, shard_epoch=0, entry_id=entry_id
    )
    load = components.peer_loads.record_sent(route.executor_id)
    mark_sent(True)
    try:
        reply = await components.inner.call(
            route.owner_id,
            message,
            timeout_ms=remaining_ms + components.settings.late_answer_ms,
        )
    except NotSentError as error:
        mark_sent(False)
        return components.refuse(ResultCode.OWNER_UNREACHABLE, str(error))
    except AnswerLostError as error:
        return components.refuse(ResultCode.ANSWER_LOST, str(error))
    except TrefoilhookError as error:
        answer = components.refuse(error.code, str(error))
    else:
        answer = decode_answer(reply)
    finally:
        components.peer_loads.record_ended(route.executor_id, load)
    if answer.code.outcome is Outcome.NOT_RUN:
        mark_sent(False)
    return answer


async def _run_hedged(
    components: Components,
    pending: PendingRequest,
    *,
    mark_sent: MarkSent,
    entry_id: str,
    delay_ms: float,
) -> CallerAnswer:
    """Run a request, sending a second copy if it is slow.

    The first copy that is executed determines the answer. The other one still runs to
    completion, because cancelling it would leave its executor's slot in an unknown
    state.
    """
    answers: list[CallerAnswer] = []
    settled = trio.Event()
    copies = 1

    async def run_copy() -> None:
        answer = await _run_with_retries(
            components, pending, mark_sent=mark_sent, entry_id=entry_id
        )
        answers.append(answer)
        if answer.code.outcome is Outcome.EXECUTED or len(answers) == copies:
            settled.set()

    components.start(run_copy)
    with trio.move_on_after(delay_ms / _MS_PER_S):
        await settled.wait()
    if not settled.is_set():
        code = ResultCode.ANSWER_LOST
        if components.retries.may_retry(pending.service_name, code, is_idempotent=True):
            copies = 2
            components.start(run_copy)
    await settled.wait()
    executed = [each for each in answers if each.code.outcome is Outcome.EXECUTED]
    return (executed or answers)[0]
