"""The exception tree: every error that the system raises on purpose.

An error that carries a message of an adapter stands beside that message and extends
this tree from there, so that nothing here knows an adapter.
"""

import enum

from trefoilhook.results import ResultCode

__all__ = [
    "AnswerLostError",
    "CapacityExceededError",
    "DecodeError",
    "FencedError",
    "HistoryLostError",
    "LeaseLostError",
    "NotSentError",
    "OutcomeError",
    "PlacementError",
    "RequestError",
    "SettingsError",
    "StoreError",
    "StoreRateError",
    "StoreUnavailableError",
    "StoreUnsentError",
    "TransportError",
    "TransportFailure",
    "TrefoilhookError",
    "UnknownTaskError",
    "UnknownWorkerError",
]


class TrefoilhookError(Exception):
    """Base of every error raised on purpose.

    Parameters
    ----------
    message : str
        What happened, for people.
    code : ResultCode, optional
        Code that an answer caused by this error carries.
    """

    code: ResultCode = ResultCode.INTERNAL

    def __init__(self, message: str, *, code: ResultCode | None = None) -> None:
        super().__init__(message)
        if code is not None:
            self.code = code


class RequestError(TrefoilhookError):
    """A request is refused; it was not run."""

    code = ResultCode.BAD_REQUEST


class OutcomeError(TrefoilhookError):
    """A request ended with a code other than success."""


class SettingsError(TrefoilhookError):
    """A setting is unknown, of the wrong type or impossible."""

    code = ResultCode.INVALID_SETTING


class DecodeError(TrefoilhookError):
    """Something from outside can't be read; says which part, and never its value."""

    code = ResultCode.BAD_REQUEST


class TransportFailure(enum.Enum):
    """How an exchange over a connection failed."""

    CLOSED = "closed"
    """The other end closed or reset the connection."""

    REFUSED = "refused"
    """Nothing listens at the address, on a machine that can be reached."""

    BUSY = "busy"
    """Every connection of this side's pool was in use: nothing was tried."""

    TIMED_OUT = "timed out"
    """Nothing came back in time."""

    OTHER = "other"


class TransportError(TrefoilhookError):
    """A connection failed.

    Parameters
    ----------
    message : str
        What happened, for people.
    code : ResultCode, optional
        Code that an answer caused by this error carries.
    failure : TransportFailure, optional
        How it failed.
    """

    def __init__(
        self,
        message: str,
        *,
        code: ResultCode | None = None,
        failure: TransportFailure = TransportFailure.OTHER,
    ) -> None:
        super().__init__(message, code=code)
        self.failure = failure


class NotSentError(TransportError):
    """The exchange failed before any byte of the request can have left."""

    code = ResultCode.OWNER_UNREACHABLE


class AnswerLostError(TransportError):
    """The exchange failed after a byte may have left: the effect is unknown."""

    code = ResultCode.ANSWER_LOST


class StoreError(TrefoilhookError):
    """The platform's store did not do what it was asked."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreUnavailableError(StoreError):
    """The store can't be reached, or its answer was lost: the effect is unknown."""

    is_proved_unsent: bool = False


class StoreUnsentError(StoreUnavailableError):
    """The call never left for the store: nothing changed."""

    is_proved_unsent = True


class StoreRateError(StoreError):
    """The store refused the call because its rate is used up; nothing changed."""


class HistoryLostError(StoreError):
    """The store no longer has the changes that a watch asks for: read anew."""


class LeaseLostError(StoreError):
    """A lease has lapsed or is unknown to the store."""


class FencedError(TrefoilhookError):
    """A command carries an epoch older than one already seen."""

    code = ResultCode.NO_OWNER


class PlacementError(TrefoilhookError):
    """A change of a shard's placement state is refused; nothing changed."""


class CapacityExceededError(PlacementError):
    """A reservation would give a worker more than it has."""

    code = ResultCode.OVERLOADED


class UnknownTaskError(PlacementError):
    """The shard holds no such task, or holds it already."""


class UnknownWorkerError(PlacementError):
    """The shard has no such worker in use, or has it already."""
