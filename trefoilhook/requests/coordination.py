"""Choice of an owner for a request, and what is tried when one refuses."""

import math

import attrs
import trio

from trefoilhook.exceptions import AnswerLostError, NotSentError, TrefoilhookError
from trefoilhook.requests.dispatch import MarkSent, run_here
from trefoilhook.requests.models import CallerAnswer, ExecutorTarget
from trefoilhook.requests.retry import MOVED
from trefoilhook.requests.routing import (
    Candidate,
    ReportedLoad,
    Route,
    choose_route,
)
from trefoilhook.requests.work import (
    Parts,
    Work,
    decode_answer,
    encode_work,
)
from trefoilhook.results import Outcome, ResultCode

__all__ = ["coordinate"]

_MS_PER_S = 1000.0
_MOST_ATTEMPTS = 5
_FIRST_WAIT_MS = 10.0
_HIDDEN = frozenset(
    {
        ResultCode.NO_OWNER,
        ResultCode.OWNER_UNREACHABLE,
        ResultCode.SHUTTING_DOWN,
    }
)


@attrs.define(kw_only=True, eq=False)
class _Tried:
    """Owners that refused this request."""

    owner_ids: set[str] = attrs.field(factory=set)


async def coordinate(
    parts: Parts, work: Work, *, mark_sent: MarkSent, entry_id: str
) -> CallerAnswer:
    """Have a request run somewhere, once unless it is idempotent.

    Parameters
    ----------
    parts : Parts
        What the roles share.
    work : Work
        The request.
    mark_sent : callable
        Told whether a byte may have left for an executor.
    entry_id : str
        Instance that took the request in.

    Notes
    -----
    The answer never says that another *key owner* should be asked: a refusal by an
    executor's owner is told as NO_EXECUTOR, so that whoever asked this owner can tell
    it from "I don't own this key".
    """
    parts.retries.note_request(work.service_name)
    hedge_ms = parts.hedges.get_delay_ms(
        work.service_name, is_idempotent=work.is_idempotent
    )
    begun_ms = parts.clock.monotonic_ms()
    if math.isinf(hedge_ms):
        answer = await _attempt(parts, work, mark_sent=mark_sent, entry_id=entry_id)
    else:
        answer = await _attempt_hedged(
            parts, work, mark_sent=mark_sent, entry_id=entry_id, delay_ms=hedge_ms
        )
    if answer.code is ResultCode.OK:
        run_ms = parts.clock.monotonic_ms() - begun_ms
        parts.hedges.note(work.service_name, run_ms)
    if answer.code in _HIDDEN:
        return attrs.evolve(answer, code=ResultCode.NO_EXECUTOR)
    return answer


async def _attempt(
    parts: Parts, work: Work, *, mark_sent: MarkSent, entry_id: str
) -> CallerAnswer:
    tried = _Tried()
    answer = parts.refuse(ResultCode.NO_EXECUTOR)
    wait_ms = _FIRST_WAIT_MS
    for _ in range(_MOST_ATTEMPTS):
        route = _choose(parts, work, tried)
        if route is None:
            return answer
        if route.owner_id:
            answer = await _run_there(
                parts, work, route, mark_sent=mark_sent, entry_id=entry_id
            )
        else:
            answer = await run_here(parts, work, mark_sent=mark_sent)
        if parts.clock.monotonic_ms() >= work.deadline_ms:
            return answer
        if not parts.retries.may_retry(
            work.service_name, answer.code, is_idempotent=work.is_idempotent
        ):
            return answer
        if answer.code in MOVED:
            # Guards against refusing requests because instances learn of a moved
            # shard at different moments: each view is asked again a little later.
            await parts.clock.sleep_ms(wait_ms)
            wait_ms *= 2
        elif answer.code.outcome is Outcome.NOT_RUN:
            tried.owner_ids.add(route.owner_id)
    return answer


def _choose(parts: Parts, work: Work, tried: _Tried) -> Route | None:
    own = None
    if "" not in tried.owner_ids:
        # The common case, decided without a look at everybody else's executors.
        if parts.pool.has_free(work.service_name):
            return Route()
        own = parts.pool.view_load(work.service_name)
        is_present = own.usable or own.free or own.queued
        own = own if is_present or parts.pool.owns_any(work.service_name) else None
    return choose_route(
        own=own,
        candidates=_list_candidates(parts, work, tried),
        generator=parts.generator,
    )


def _list_candidates(parts: Parts, work: Work, tried: _Tried) -> list[Candidate]:
    now_ms = parts.clock.monotonic_ms()
    candidates: list[Candidate] = []
    for target in parts.list_executors():
        if target.service_name != work.service_name or target.is_leaving:
            continue
        owner = parts.find_executor_owner(target)
        if owner is None or owner.instance_id == parts.instance_id:
            continue
        if owner.instance_id in tried.owner_ids:
            continue
        load = parts.peer_loads.find(
            target.executor_id, owner_id=owner.instance_id, now_ms=now_ms
        )
        candidates.append(_describe(parts, target, owner.instance_id, load))
    return candidates


def _describe(
    parts: Parts, target: ExecutorTarget, owner_id: str, load: ReportedLoad | None
) -> Candidate:
    is_near = target.failure_domain == parts.failure_domain
    if load is None or not load.is_usable:
        return Candidate(
            executor_id=target.executor_id,
            owner_id=owner_id,
            free=0,
            wait=0.0,
            is_near=is_near,
            is_known=False,
        )
    free = load.slots - load.in_use - parts.peer_loads.count_sent(target.executor_id)
    return Candidate(
        executor_id=target.executor_id,
        owner_id=owner_id,
        free=max(0, free),
        wait=(load.queued + max(0, -free)) / max(1, load.slots),
        is_near=is_near,
    )


async def _run_there(
    parts: Parts, work: Work, route: Route, *, mark_sent: MarkSent, entry_id: str
) -> CallerAnswer:
    """Hand a request to the owner of the executor that was chosen."""
    left_ms = work.deadline_ms - parts.clock.monotonic_ms()
    if left_ms <= 0:
        return parts.refuse(ResultCode.QUEUE_DEADLINE)
    message = encode_work(
        work, executor_id=route.executor_id, shard_epoch=0, entry_id=entry_id
    )
    load = parts.peer_loads.note_sent(route.executor_id)
    mark_sent(True)
    try:
        reply = await parts.inner.call(
            route.owner_id,
            message,
            timeout_ms=left_ms + parts.settings.late_answer_ms,
        )
    except NotSentError as error:
        mark_sent(False)
        return parts.refuse(ResultCode.OWNER_UNREACHABLE, str(error))
    except AnswerLostError as error:
        return parts.refuse(ResultCode.ANSWER_LOST, str(error))
    except TrefoilhookError as error:
        answer = parts.refuse(error.code, str(error))
    else:
        answer = decode_answer(reply)
    finally:
        parts.peer_loads.note_ended(route.executor_id, load)
    if answer.code.outcome is Outcome.NOT_RUN:
        mark_sent(False)
    return answer


async def _attempt_hedged(
    parts: Parts,
    work: Work,
    *,
    mark_sent: MarkSent,
    entry_id: str,
    delay_ms: float,
) -> CallerAnswer:
    """Send a second copy if the first is slow; the first whole answer counts.

    The other copy goes on to its end: cut off, it would leave a slot of which nobody
    knows whether it is free.
    """
    answers: list[CallerAnswer] = []
    settled = trio.Event()
    copies = 1

    async def run_copy() -> None:
        answer = await _attempt(parts, work, mark_sent=mark_sent, entry_id=entry_id)
        answers.append(answer)
        if answer.code.outcome is Outcome.EXECUTED or len(answers) == copies:
            settled.set()

    parts.start(run_copy)
    with trio.move_on_after(delay_ms / _MS_PER_S):
        await settled.wait()
    if not settled.is_set():
        code = ResultCode.ANSWER_LOST
        if parts.retries.may_retry(work.service_name, code, is_idempotent=True):
            copies = 2
            parts.start(run_copy)
    await settled.wait()
    executed = [each for each in answers if each.code.outcome is Outcome.EXECUTED]
    return (executed or answers)[0]
