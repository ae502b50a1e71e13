"""The role of the entry: find the key's owner, and tell the caller the truth."""

import attrs
import trio

from trefoilhook.exceptions import AnswerLostError, NotSentError, TrefoilhookError
from trefoilhook.requests.coordination import coordinate
from trefoilhook.requests.keyowner import take_quota
from trefoilhook.requests.keys import compute_key_shard
from trefoilhook.requests.models import Attempt, CallerAnswer, CallerRequest
from trefoilhook.requests.work import Parts, Work, decode_answer, encode_work
from trefoilhook.results import Outcome, ResultCode

__all__ = ["Journey", "ask_owner", "run_unkeyed"]

_MS_PER_S = 1000.0
_FIRST_WAIT_MS = 10.0
_LONGEST_WAIT_MS = 200.0
_NOT_ASKED = frozenset(
    {
        ResultCode.NO_OWNER,
        ResultCode.OWNER_UNREACHABLE,
        ResultCode.SHUTTING_DOWN,
    }
)


@attrs.define(kw_only=True, eq=False)
class Journey:
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
    work: Work
    is_received: bool = False
    is_answered: bool = False


async def run_unkeyed(parts: Parts, work: Work) -> CallerAnswer:
    """Run an idempotent request without a key, from here."""
    refusal = take_quota(parts, work.team)
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
                parts, work, mark_sent=mark_sent, entry_id=parts.instance_id
            )
            answers.append(answer)
        finally:
            done.set()

    parts.start(run)
    left_ms = max(0.0, work.deadline_ms - parts.clock.monotonic_ms())
    with trio.move_on_after(left_ms / _MS_PER_S):
        await done.wait()
    if answers:
        return answers[0]
    if sent[0]:
        return parts.refuse(ResultCode.DEADLINE_AFTER_SEND)
    return parts.refuse(ResultCode.QUEUE_DEADLINE)


async def ask_owner(parts: Parts, journey: Journey) -> CallerAnswer:
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
    deadline_ms = journey.work.deadline_ms
    give_up_ms = parts.clock.monotonic_ms() + parts.settings.owner_wait_ms
    wait_ms = _FIRST_WAIT_MS
    while True:
        answer = await _ask_once(parts, journey)
        now_ms = parts.clock.monotonic_ms()
        is_final = journey.is_answered and answer.code not in _NOT_ASKED
        if is_final or now_ms >= deadline_ms:
            break
        if not journey.is_received and now_ms + wait_ms > give_up_ms:
            break
        if now_ms + wait_ms >= deadline_ms:
            break
        await parts.clock.sleep_ms(wait_ms)
        wait_ms = min(2 * wait_ms, _LONGEST_WAIT_MS)
    return tell_truth(parts, journey, answer)


async def _ask_once(parts: Parts, journey: Journey) -> CallerAnswer:
    work = journey.work
    journey.is_answered = False
    count = parts.settings.shard_count
    shard_id = compute_key_shard(work.key, shard_count=count)
    owner = parts.ownership.find_owner(shard_id)
    if owner is None:
        return parts.refuse(ResultCode.NO_OWNER)
    left_ms = work.deadline_ms - parts.clock.monotonic_ms()
    if left_ms <= 0:
        return parts.refuse(ResultCode.OWNER_UNREACHABLE)
    message = encode_work(
        work, executor_id="", shard_epoch=owner.epoch, entry_id=parts.instance_id
    )
    if owner.instance_id == parts.instance_id:
        journey.is_answered = True
        return await parts.serve_own(message, left_ms)
    try:
        with trio.fail_after(left_ms / _MS_PER_S):
            reply = await parts.inner.call(
                owner.instance_id, message, timeout_ms=left_ms
            )
    except NotSentError as error:
        return parts.refuse(ResultCode.OWNER_UNREACHABLE, str(error))
    except (AnswerLostError, trio.TooSlowError) as error:
        journey.is_received = True
        return parts.refuse(ResultCode.ANSWER_LOST, str(error))
    except TrefoilhookError as error:
        journey.is_answered = True
        return parts.refuse(error.code, str(error))
    journey.is_answered = True
    return decode_answer(reply)


def tell_truth(parts: Parts, journey: Journey, answer: CallerAnswer) -> CallerAnswer:
    """Turn what was learnt on the way into what may be said of the key.

    Guards against a caller that is told "not run" on its second attempt while its
    first one was run: it would send the order again under a new key. Without the
    word of the key's owner nobody knows of earlier attempts, but a caller that says
    it made none.
    """
    code = answer.code
    if journey.is_received:
        return _tell_after_loss(parts, journey, answer)
    is_first = journey.request.attempt is Attempt.FIRST
    if code is ResultCode.KEY_TOO_OLD and not is_first:
        return attrs.evolve(answer, code=ResultCode.OUTCOME_UNKNOWN)
    if code in _NOT_ASKED and not is_first:
        detail = answer.detail or code.name
        return attrs.evolve(answer, code=ResultCode.ATTEMPT_NOT_RUN, detail=detail)
    return answer


def _tell_after_loss(
    parts: Parts, journey: Journey, answer: CallerAnswer
) -> CallerAnswer:
    """Say "unknown" where a copy that was lost on the way might still arrive."""
    is_late = parts.clock.monotonic_ms() >= journey.work.deadline_ms
    is_own_word = not journey.is_answered
    if is_own_word and is_late:
        return attrs.evolve(answer, code=ResultCode.DEADLINE_AFTER_SEND)
    if answer.code.outcome is Outcome.NOT_RUN:
        return attrs.evolve(answer, code=ResultCode.ANSWER_LOST)
    return answer
