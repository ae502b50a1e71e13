"""The role of an executor's owner: wait for a slot, send, give the slot back."""

from collections.abc import Callable

import attrs

from trefoilhook.exceptions import AnswerLostError, NotSentError, RequestError
from trefoilhook.executors import ExecutorAnswer
from trefoilhook.requests.models import CallerAnswer
from trefoilhook.requests.owned import Grant
from trefoilhook.requests.queueing import QueueRefusedError
from trefoilhook.requests.slots import Ending
from trefoilhook.requests.work import Parts, Work
from trefoilhook.results import ResultCode

__all__ = ["MarkSent", "run_here"]

_FIRST_FAILURE_STATUS = 500

MarkSent = Callable[[bool], None]


@attrs.define(kw_only=True, eq=False)
class _Sending:
    """One request's way to one executor."""

    parts: Parts
    work: Work
    grant: Grant
    mark_sent: MarkSent
    is_withdrawn: bool = False
    is_sent: bool = False

    def may_send(self) -> bool:
        """Tell whether the request may still leave, in the step in which it would.

        Guards against an owner that was frozen, or waited for a connection, since it
        was given the slot: by now another may count the executor's slots, the
        executor may be leaving, or the caller may have been told "not run".
        """
        executor = self.grant.executor
        parts = self.parts
        is_owner = parts.ownership.owns(executor.shard_id) == executor.epoch
        is_in_time = parts.clock.monotonic_ms() < self.work.deadline_ms
        if not is_owner or not is_in_time or executor.slots.is_leaving:
            self.is_withdrawn = True
            return False
        self.is_sent = True
        self.mark_sent(True)
        return True


async def run_here(parts: Parts, work: Work, *, mark_sent: MarkSent) -> CallerAnswer:
    """Run a request on an executor owned here.

    Parameters
    ----------
    parts : Parts
        What the roles share.
    work : Work
        The request.
    mark_sent : callable
        Told True in the step in which a byte may leave, False once it is proved that
        none did.
    """
    tried: list[str] = []
    while True:
        try:
            grant = await parts.pool.acquire(
                work.service_name,
                deadline_ms=work.deadline_ms,
                max_waiting=work.max_waiting,
                avoid=tried,
            )
        except QueueRefusedError as error:
            return parts.refuse(
                error.code, str(error), retry_after_ms=error.retry_after_ms
            )
        except RequestError as error:
            return parts.refuse(error.code, str(error))
        answer = await _send(parts, work, grant, mark_sent)
        tried.append(grant.executor.target.executor_id)
        is_late = parts.clock.monotonic_ms() >= work.deadline_ms
        if is_late or answer.code is ResultCode.NO_OWNER:
            return answer
        if not parts.retries.may_retry(
            work.service_name, answer.code, is_idempotent=work.is_idempotent
        ):
            return answer


async def _send(
    parts: Parts, work: Work, grant: Grant, mark_sent: MarkSent
) -> CallerAnswer:
    sending = _Sending(parts=parts, work=work, grant=grant, mark_sent=mark_sent)
    left_ms = max(0.0, work.deadline_ms - parts.clock.monotonic_ms())
    ending = Ending.LOST
    try:
        answer = await grant.executor.link.run(
            work.body,
            content_type=work.content_type,
            timeout_ms=left_ms + parts.settings.late_answer_ms,
            request_id=work.request_id,
            may_send=sending.may_send,
        )
        ending = _judge_ending(answer)
        return _build_answer(parts, grant, answer)
    except NotSentError as error:
        ending = Ending.GIVEN_UP if sending.is_withdrawn else Ending.NOT_SENT
        mark_sent(False)
        return _explain_not_sent(parts, work, sending, str(error))
    except AnswerLostError as error:
        return parts.refuse(ResultCode.ANSWER_LOST, str(error))
    except BaseException:
        ending = Ending.CUT_OFF if sending.is_sent else Ending.GIVEN_UP
        raise
    finally:
        parts.pool.release(grant, ending)


def _judge_ending(answer: ExecutorAnswer) -> Ending:
    if answer.status >= _FIRST_FAILURE_STATUS:
        return Ending.FAILED
    return Ending.ANSWERED


def _build_answer(parts: Parts, grant: Grant, answer: ExecutorAnswer) -> CallerAnswer:
    is_failure = answer.status >= _FIRST_FAILURE_STATUS
    return CallerAnswer(
        code=ResultCode.BACKEND_FAILED if is_failure else ResultCode.OK,
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        executor_id=grant.executor.target.executor_id,
        owner_instance_id=parts.instance_id,
    )


def _explain_not_sent(
    parts: Parts, work: Work, sending: _Sending, detail: str
) -> CallerAnswer:
    if not sending.is_withdrawn:
        return parts.refuse(ResultCode.NO_EXECUTOR, detail)
    if parts.clock.monotonic_ms() >= work.deadline_ms:
        return parts.refuse(ResultCode.QUEUE_DEADLINE, detail)
    if sending.grant.executor.slots.is_leaving:
        return parts.refuse(ResultCode.NO_EXECUTOR, detail)
    return parts.refuse(ResultCode.NO_OWNER, detail)
