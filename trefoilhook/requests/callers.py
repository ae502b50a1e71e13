"""Entry role: forward a request to its key's owner and answer the caller."""

import math

import attrs
import trio

from trefoilhook.exceptions import AnswerLostError, NotSentError, TrefoilhookError
from trefoilhook.requests.coordination import coordinate
from trefoilhook.requests.keyowner import charge_quota
from trefoilhook.requests.keys import compute_key_shard
from trefoilhook.requests.models import Attempt, CallerAnswer, CallerRequest
from trefoilhook.requests.pending import (
    Components,
    PendingRequest,
    decode_answer,
    encode_request,
)
from trefoilhook.results import Outcome, ResultCode

__all__ = ["ForwardedRequest", "forward_to_key_owner", "run_unkeyed"]

_MS_PER_S = 1000.0
_INITIAL_BACKOFF_MS = 10.0
_MAX_BACKOFF_MS = 200.0
_OWNER_UNAVAILABLE_CODES = frozenset(
    {
        ResultCode.NO_OWNER,
        ResultCode.OWNER_UNREACHABLE,
        ResultCode.SHUTTING_DOWN,
    }
)


@attrs.define(kw_only=True, eq=False)
class ForwardedRequest:
    """A request that the entry forwards to its key's owner.

    Parameters
    ----------
    request : CallerRequest
        The caller's request.
    pending : PendingRequest
        Internal form of the request, with the caller's deadline.
    is_answer_lost : bool
        Whether an owner may have received the request without its answer arriving.
    is_from_owner : bool
        Whether the latest answer came from an owner.
    """

    request: CallerRequest
    pending: PendingRequest
    is_answer_lost: bool = False
    is_from_owner: bool = False


async def run_unkeyed(components: Components, pending: PendingRequest) -> CallerAnswer:
    """Run an idempotent request without involving a key owner."""
    refusal = charge_quota(components, pending.team)
    if refusal is not None:
        return refusal
    sent: list[bool] = [False]

    def mark_sent(is_sent: bool) -> None:
        sent[0] = is_sent

    answers: list[CallerAnswer] = []
    done = trio.Event()

    async def run() -> None:
        try:
            answer = await coordinate(
                components,
                pending,
                mark_sent=mark_sent,
                entry_id=components.instance_id,
            )
            answers.append(answer)
        finally:
            done.set()

    components.start(run)
    remaining_ms = max(0.0, pending.deadline_ms - components.clock.monotonic_ms())
    with trio.move_on_after(remaining_ms / _MS_PER_S):
        await done.wait()
    if answers:
        return answers[0]
    if sent[0]:
        return components.refuse(ResultCode.DEADLINE_AFTER_SEND)
    return components.refuse(ResultCode.QUEUE_DEADLINE)


async def forward_to_key_owner(
    components: Components, forwarded: ForwardedRequest
) -> CallerAnswer:
    """Forward a request to the owner of its key, retrying until the deadline.

    If no owner is available, retries end after the time that a handover takes, counted
    from the first refusal. Waiting for a takeover without a handover would be useless,
    because the new owner refuses keys created before it.

    Retrying is always safe, even after an answer was lost. The owner never runs a key
    twice, and a later owner refuses keys that an earlier one may have run.

    Parameters
    ----------
    components : Components
        Components shared by all roles.
    forwarded : ForwardedRequest
        The request.
    """
    deadline_ms = forwarded.pending.deadline_ms
    give_up_ms = math.inf
    backoff_ms = _INITIAL_BACKOFF_MS
    while True:
        answer = await _forward_once(components, forwarded)
        now_ms = components.clock.monotonic_ms()
        is_final = (
            forwarded.is_from_owner and answer.code not in _OWNER_UNAVAILABLE_CODES
        )
        if is_final or now_ms >= deadline_ms:
            break
        # An owner under load may refuse late, so the wait starts at the first refusal.
        give_up_ms = min(give_up_ms, now_ms + components.settings.owner_wait_ms)
        if not forwarded.is_answer_lost and now_ms + backoff_ms > give_up_ms:
            break
        if now_ms + backoff_ms >= deadline_ms:
            break
        await components.clock.sleep_ms(backoff_ms)
        backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)
    return adjust_for_caller(components, forwarded, answer)


async def _forward_once(
    components: Components, forwarded: ForwardedRequest
) -> CallerAnswer:
    pending = forwarded.pending
    forwarded.is_from_owner = False
    count = components.settings.shard_count
    shard_id = compute_key_shard(pending.key, shard_count=count)
    owner = components.ownership.find_owner(shard_id)
    if owner is None:
        return components.refuse(ResultCode.NO_OWNER)
    remaining_ms = pending.deadline_ms - components.clock.monotonic_ms()
    if remaining_ms <= 0:
        return components.refuse(ResultCode.OWNER_UNREACHABLE)
    message = encode_request(
        pending,
        executor_id="",
        shard_epoch=owner.epoch,
        entry_id=components.instance_id,
    )
    if owner.instance_id == components.instance_id:
        forwarded.is_from_owner = True
        return await components.serve_own(message, remaining_ms)
    try:
        with trio.fail_after(remaining_ms / _MS_PER_S):
            reply = await components.inner.call(
                owner.instance_id, message, timeout_ms=remaining_ms
            )
    except NotSentError as error:
        return components.refuse(ResultCode.OWNER_UNREACHABLE, str(error))
    except (AnswerLostError, trio.TooSlowError) as error:
        forwarded.is_answer_lost = True
        return components.refuse(ResultCode.ANSWER_LOST, str(error))
    except TrefoilhookError as error:
        forwarded.is_from_owner = True
        return components.refuse(error.code, str(error))
    forwarded.is_from_owner = True
    return decode_answer(reply)


def adjust_for_caller(
    components: Components, forwarded: ForwardedRequest, answer: CallerAnswer
) -> CallerAnswer:
    """Adjust an answer so that it is also correct for earlier attempts with the key.

    Only the key's owner knows of earlier attempts. If a caller were told "not run" for
    its second attempt although the first one was run, it would send the request again
    with a new key. Without an answer from the owner, "not run" is therefore returned
    only to callers that declare their first attempt. Others are told that this attempt
    was not run or that the outcome is unknown.
    """
    code = answer.code
    if forwarded.is_answer_lost:
        return _adjust_after_lost_answer(components, forwarded, answer)
    is_first = forwarded.request.attempt is Attempt.FIRST
    if code is ResultCode.KEY_TOO_OLD and not is_first:
        return attrs.evolve(answer, code=ResultCode.OUTCOME_UNKNOWN)
    if code in _OWNER_UNAVAILABLE_CODES and not is_first:
        detail = answer.detail or code.name
        return attrs.evolve(answer, code=ResultCode.ATTEMPT_NOT_RUN, detail=detail)
    return answer


def _adjust_after_lost_answer(
    components: Components, forwarded: ForwardedRequest, answer: CallerAnswer
) -> CallerAnswer:
    """Replace "not run" by "unknown" if an earlier copy may still arrive."""
    is_late = components.clock.monotonic_ms() >= forwarded.pending.deadline_ms
    is_local_answer = not forwarded.is_from_owner
    if is_local_answer and is_late:
        return attrs.evolve(answer, code=ResultCode.DEADLINE_AFTER_SEND)
    if answer.code.outcome is Outcome.NOT_RUN:
        return attrs.evolve(answer, code=ResultCode.ANSWER_LOST)
    return answer
