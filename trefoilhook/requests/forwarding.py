"""The role of the entry: find the key's owner, and tell the caller the truth."""

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
    """One request's way from the entry to its key's owner.

    Parameters
    ----------
    request : CallerRequest
        What the caller sent.
    work : Work
        The request, with the caller's deadline.
    is_received : bool
        Whether some owner may have got it without answering.
    is_answered : bool
        Whether the newest word is an owner's own.
    """

    request: CallerRequest
    pending: PendingRequest
    is_answer_lost: bool = False
    is_from_owner: bool = False


async def run_unkeyed(components: Components, pending: PendingRequest) -> CallerAnswer:
    """Run an idempotent request without a key, from here."""
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
    """Ask the owner of a request's key, and ask again where that is safe.

    An owner is looked for only as long as a handover takes: a key minted before a
    takeover is refused by the new owner, so that waiting for one would hold the
    caller back in vain.

    Asking again is always safe, also after an answer was lost: the key's owner never
    runs a key twice, and a later owner refuses what an earlier one may have run.

    Parameters
    ----------
    parts : Parts
        What the roles share.
    journey : Journey
        The request.
    """
    deadline_ms = forwarded.pending.deadline_ms
    give_up_ms = components.clock.monotonic_ms() + components.settings.owner_wait_ms
    backoff_ms = _INITIAL_BACKOFF_MS
    while True:
        answer = await _forward_once(components, forwarded)
        now_ms = components.clock.monotonic_ms()
        is_final = (
            forwarded.is_from_owner and answer.code not in _OWNER_UNAVAILABLE_CODES
        )
        if is_final or now_ms >= deadline_ms:
            break
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
    """Turn what was learnt on the way into what may be said of the key.

    Guards against a caller that is told "not run" on its second attempt while its
    first one was run: it would send the order again under a new key. Without the
    word of the key's owner nobody knows of earlier attempts, but a caller that says
    it made none.
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
    """Say "unknown" where a copy that was lost on the way might still arrive."""
    is_late = components.clock.monotonic_ms() >= forwarded.pending.deadline_ms
    is_own_word = not forwarded.is_from_owner
    if is_own_word and is_late:
        return attrs.evolve(answer, code=ResultCode.DEADLINE_AFTER_SEND)
    if answer.code.outcome is Outcome.NOT_RUN:
        return attrs.evolve(answer, code=ResultCode.ANSWER_LOST)
    return answer
