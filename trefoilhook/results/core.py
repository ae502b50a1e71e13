"""The table of result codes.

Numbers are stable: new ones may be added, none is ever reused. A test checks
``docs/RESULT_CODES.md`` against this table.
"""

import enum

import attrs

__all__ = ["Outcome", "Result", "ResultCode"]


class Outcome(enum.Enum):
    """Whether a request was run, as far as the system knows."""

    EXECUTED = "executed"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Result:
    """One row of the table of result codes.

    Parameters
    ----------
    number : int
        Stable number of the code.
    outcome : Outcome
        Whether the request was run.
    may_retry : bool
        Whether the caller may send the same request again.
    http_status : int
        Status of the HTTP response that carries the code.
    meaning : str
        One-sentence description.
    """

    number: int
    outcome: Outcome
    may_retry: bool
    http_status: int
    meaning: str


def _not_run(number: int, http_status: int, may_retry: bool, meaning: str) -> Result:
    return Result(
        number=number,
        outcome=Outcome.NOT_RUN,
        may_retry=may_retry,
        http_status=http_status,
        meaning=meaning,
    )


def _executed(number: int, http_status: int, meaning: str) -> Result:
    return Result(
        number=number,
        outcome=Outcome.EXECUTED,
        may_retry=False,
        http_status=http_status,
        meaning=meaning,
    )


def _unknown(number: int, http_status: int, may_retry: bool, meaning: str) -> Result:
    return Result(
        number=number,
        outcome=Outcome.UNKNOWN,
        may_retry=may_retry,
        http_status=http_status,
        meaning=meaning,
    )


class ResultCode(enum.Enum):
    """All result codes of responses."""

    # 0-99: the request was run.
    OK = _executed(0, 200, "Run; the complete response follows.")
    ACCEPTED = _executed(1, 202, "Recorded durably; it will be carried out.")
    REPLAYED = _executed(
        2, 200, "Run earlier under the same key; that response follows."
    )
    BACKEND_FAILED = _executed(3, 502, "Run; the backend responded with a failure.")
    ANSWER_DROPPED = _executed(4, 410, "Run earlier; its response is no longer stored.")
    CANCELLED = _executed(5, 200, "Cancelled after its start; it has stopped.")

    # 100-199: not run, and the same request may be sent again.
    OVERLOADED = _not_run(100, 503, True, "Not run: every slot and queue is full.")
    QUEUE_DEADLINE = _not_run(101, 503, True, "Not run: it waited past its deadline.")
    NO_OWNER = _not_run(102, 503, True, "Not run: no instance owns the resource now.")
    STORE_UNAVAILABLE = _not_run(103, 503, True, "Not run: the store is unavailable.")
    SHUTTING_DOWN = _not_run(104, 503, True, "Not run: this instance is shutting down.")
    NO_EXECUTOR = _not_run(105, 503, True, "Not run: no live executor for the service.")
    QUOTA_EXCEEDED = _not_run(106, 429, True, "Not run: the team's quota is used up.")
    OWNER_UNREACHABLE = _not_run(
        107, 503, True, "Not run: the owner could not be reached."
    )
    KEY_AHEAD = _not_run(108, 409, True, "Not run: the key's time is in the future.")

    # 200-299: it is unknown whether the request was run; it is never sent again.
    ANSWER_LOST = _unknown(
        200, 504, False, "Sent, but no complete response was received."
    )
    OUTCOME_UNKNOWN = _unknown(
        201, 504, False, "An earlier attempt under this key has an unknown outcome."
    )
    DEADLINE_AFTER_SEND = _unknown(202, 504, False, "Sent; the deadline passed.")
    COMMIT_UNKNOWN = _unknown(
        203, 504, True, "It is unknown whether the change took effect in the store."
    )
    ATTEMPT_NOT_RUN = _unknown(
        204,
        503,
        True,
        "This attempt was not run; the outcome of earlier ones is unknown.",
    )

    # 300-399: not run, and the same request would be refused again.
    BAD_REQUEST = _not_run(300, 400, False, "Not run: the request is malformed.")
    NOT_FOUND = _not_run(301, 404, False, "Not run: there is nothing at this path.")
    TOO_LARGE = _not_run(302, 413, False, "Not run: the request is too large.")
    KEY_REQUIRED = _not_run(303, 400, False, "Not run: a UUIDv7 key is required.")
    KEY_TOO_OLD = _not_run(
        304, 409, False, "Not run here: the key is too old to detect a repeat."
    )
    KEY_REUSED = _not_run(
        305, 409, False, "Not run: the key was used for another request."
    )
    IMPOSSIBLE_JOB = _not_run(
        306, 422, False, "Not run: no worker could ever run the job."
    )
    METHOD_NOT_ALLOWED = _not_run(307, 405, False, "Not run: method not allowed here.")
    SLOW_SENDER = _not_run(
        308, 408, True, "Not run: the request was received too slowly."
    )
    CANCELLED_UNSTARTED = _not_run(
        309, 200, False, "Not run: cancelled before its start."
    )

    # 400-499: not run, as authentication or authorisation failed.
    UNAUTHENTICATED = _not_run(400, 401, False, "Not run: no valid token was given.")
    FORBIDDEN = _not_run(401, 403, False, "Not run: the token doesn't cover this path.")

    # 500-599: configuration.
    CONFLICT = _not_run(500, 409, False, "Not changed: another revision is current.")
    INVALID_SETTING = _not_run(501, 422, False, "Not changed: the value is invalid.")
    STALE_REVISION = _not_run(502, 504, True, "The revision isn't in force yet.")

    # 900-999: internal errors.
    INTERNAL = _unknown(900, 500, False, "An internal error; the log has the details.")

    @property
    def number(self) -> int:
        """Stable number of the code."""
        return self.value.number

    @property
    def outcome(self) -> Outcome:
        """Whether the request was run."""
        return self.value.outcome

    @classmethod
    def from_number(cls, number: int) -> "ResultCode":
        """Return the code with the given number.

        Raises
        ------
        ValueError
            If no code has that number.
        """
        for code in cls:
            if code.number == number:
                return code
        raise ValueError(f"no result code has the number {number}")
