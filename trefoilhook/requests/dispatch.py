"""Executor owner role: acquire a slot, send the request and release the slot."""

from collections.abc import Callable

import attrs

from trefoilhook.exceptions import AnswerLostError, NotSentError, RequestError
from trefoilhook.executors import ExecutorResponse
from trefoilhook.requests.models import CallerAnswer
from trefoilhook.requests.owned import Grant
from trefoilhook.requests.pending import Components, PendingRequest
from trefoilhook.requests.queueing import QueueRefusedError
from trefoilhook.requests.slots import AttemptOutcome
from trefoilhook.results import ResultCode

__all__ = ["MarkSent", "run_locally"]

_MIN_FAILURE_STATUS = 500

MarkSent = Callable[[bool], None]


@attrs.define(kw_only=True, eq=False)
class _SendAttempt:
    """One attempt to send a request to an executor."""

    components: Components
    pending: PendingRequest
    grant: Grant
    mark_sent: MarkSent
    is_withdrawn: bool = False
    is_sent: bool = False

    def may_send(self) -> bool:
        """Return whether the request may still be sent.

        Called immediately before the first byte is sent, with no await in
        between. Since the slot was granted, the process may have been suspended or have
        waited for a connection. In the meantime another instance may have become the
        executor's owner, the executor may be leaving, or the caller may have been told
        that the request was not run.
        """
        executor = self.grant.executor
        components = self.components
        is_owner = (
            components.ownership.get_serving_epoch(executor.shard_id) == executor.epoch
        )
        is_in_time = components.clock.monotonic_ms() < self.pending.deadline_ms
        if not is_owner or not is_in_time or executor.slots.is_leaving:
            self.is_withdrawn = True
            return False
        self.is_sent = True
        self.mark_sent(True)
        return True


async def run_locally(
    components: Components, pending: PendingRequest, *, mark_sent: MarkSent
) -> CallerAnswer:
    """Run a request on an executor owned by this instance.

    Parameters
    ----------
    components : Components
        Components shared by all roles.
    pending : PendingRequest
        The request.
    mark_sent : callable
        Called with True immediately before the first byte may be sent, and with False
        once it is certain that no byte was sent.
    """
    tried_ids: list[str] = []
    while True:
        try:
            grant = await components.pool.acquire(
                pending.service_name,
                deadline_ms=pending.deadline_ms,
                max_waiting=pending.max_waiting,
                avoid=tried_ids,
            )
        except QueueRefusedError as error:
            return components.refuse(
                error.code, str(error), retry_after_ms=error.retry_after_ms
            )
        except RequestError as error:
            return components.refuse(error.code, str(error))
        answer = await _send(components, pending, grant, mark_sent)
        tried_ids.append(grant.executor.target.executor_id)
        is_late = components.clock.monotonic_ms() >= pending.deadline_ms
        if is_late or answer.code is ResultCode.NO_OWNER:
            return answer
        if not components.retries.may_retry(
            pending.service_name, answer.code, is_idempotent=pending.is_idempotent
        ):
            return answer


async def _send(
    components: Components, pending: PendingRequest, grant: Grant, mark_sent: MarkSent
) -> CallerAnswer:
    attempt = _SendAttempt(
        components=components, pending=pending, grant=grant, mark_sent=mark_sent
    )
    remaining_ms = max(0.0, pending.deadline_ms - components.clock.monotonic_ms())
    outcome = AttemptOutcome.LOST
    try:
        answer = await grant.executor.link.run(
            pending.body,
            content_type=pending.content_type,
            timeout_ms=remaining_ms + components.settings.late_answer_ms,
            request_id=pending.request_id,
            may_send=attempt.may_send,
        )
        outcome = _classify_outcome(answer)
        return _build_answer(components, grant, answer)
    except NotSentError as error:
        outcome = (
            AttemptOutcome.WITHDRAWN
            if attempt.is_withdrawn
            else AttemptOutcome.NOT_SENT
        )
        mark_sent(False)
        return _build_not_sent_answer(components, pending, attempt, str(error))
    except AnswerLostError as error:
        return components.refuse(ResultCode.ANSWER_LOST, str(error))
    except BaseException:
        outcome = (
            AttemptOutcome.CANCELLED_AFTER_SEND
            if attempt.is_sent
            else AttemptOutcome.WITHDRAWN
        )
        raise
    finally:
        components.pool.release(grant, outcome)


def _classify_outcome(answer: ExecutorResponse) -> AttemptOutcome:
    if answer.status >= _MIN_FAILURE_STATUS:
        return AttemptOutcome.FAILED
    return AttemptOutcome.ANSWERED


def _build_answer(
    components: Components, grant: Grant, answer: ExecutorResponse
) -> CallerAnswer:
    is_failure = answer.status >= _MIN_FAILURE_STATUS
    return CallerAnswer(
        code=ResultCode.BACKEND_FAILED if is_failure else ResultCode.OK,
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        executor_id=grant.executor.target.executor_id,
        owner_instance_id=components.instance_id,
    )


def _build_not_sent_answer(
    components: Components, pending: PendingRequest, attempt: _SendAttempt, detail: str
) -> CallerAnswer:
    if not attempt.is_withdrawn:
        return components.refuse(ResultCode.NO_EXECUTOR, detail)
    if components.clock.monotonic_ms() >= pending.deadline_ms:
        return components.refuse(ResultCode.QUEUE_DEADLINE, detail)
    if attempt.grant.executor.slots.is_leaving:
        return components.refuse(ResultCode.NO_EXECUTOR, detail)
    return components.refuse(ResultCode.NO_OWNER, detail)
