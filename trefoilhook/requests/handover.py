"""Encoding and decoding of the handover message with a shard's keys and slots."""

import math

from trefoilhook.inner.messages_pb2 import ExecutorInUse, ShardHandover
from trefoilhook.inner.messages_pb2 import KeyRecord as KeyRecordMessage
from trefoilhook.requests.dedup import KeyRecord, KeyState
from trefoilhook.requests.keyowner import KeyHandover
from trefoilhook.requests.keys import read_created_ms
from trefoilhook.requests.models import CallerAnswer
from trefoilhook.requests.pending import decode_answer, encode_answer
from trefoilhook.results import Outcome, ResultCode

__all__ = ["decode_keys", "encode_handover"]

_MAX_ANSWER_BYTES = 2_000_000


def encode_handover(
    *, shard_id: str, epoch: int, handover: KeyHandover, in_use: dict[str, int]
) -> ShardHandover:
    """Build the handover message.

    Answers are included, newest key first, as far as they fit within the size limit.
    The remaining records are sent without their answers.
    """
    records: list[KeyRecordMessage] = []
    remaining_bytes = _MAX_ANSWER_BYTES
    for record in reversed(handover.records):
        is_answer_included = record.size_bytes <= remaining_bytes
        remaining_bytes -= record.size_bytes if is_answer_included else 0
        records.append(_encode_record(record, is_answer_included=is_answer_included))
    message = ShardHandover(
        shard_id=shard_id,
        epoch=epoch,
        keys=records,
        in_use=[
            ExecutorInUse(executor_id=executor_id, in_use=count)
            for executor_id, count in in_use.items()
        ],
    )
    if handover.known_from_ms < math.inf:
        message.known_from_wall_ms = handover.known_from_ms
    return message


def decode_keys(message: ShardHandover) -> KeyHandover:
    """Decode the keys of a handover message.

    If the message has no lower bound, only the listed keys count as known.
    """
    has_floor = message.HasField("known_from_wall_ms")
    floor = message.known_from_wall_ms if has_floor else math.inf
    records = tuple(_decode_record(each) for each in message.keys)
    return KeyHandover(epoch=message.epoch, known_from_ms=floor, records=records)


def _encode_record(record: KeyRecord, *, is_answer_included: bool) -> KeyRecordMessage:
    code = ResultCode.OUTCOME_UNKNOWN
    if record.state in (KeyState.DONE, KeyState.DROPPED):
        code = ResultCode.ANSWER_DROPPED
    answer = CallerAnswer(code=code)
    if (
        record.answer is not None
        and record.state is KeyState.DONE
        and is_answer_included
    ):
        answer = record.answer
    return KeyRecordMessage(
        key=record.key,
        answer=encode_answer(answer),
        request_digest=record.digest,
    )


def _decode_record(message: KeyRecordMessage) -> KeyRecord:
    answer = decode_answer(message.answer)
    state = KeyState.UNKNOWN
    kept_answer: CallerAnswer | None = None
    if answer.code is ResultCode.ANSWER_DROPPED:
        state = KeyState.DROPPED
    elif answer.code.outcome is Outcome.EXECUTED:
        state = KeyState.DONE
        kept_answer = answer
    return KeyRecord(
        key=message.key,
        created_ms=read_created_ms(message.key),
        digest=message.request_digest,
        state=state,
        answer=kept_answer,
    )
