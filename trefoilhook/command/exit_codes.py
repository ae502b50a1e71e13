"""Exit codes, derived from the numbered result codes."""

from trefoilhook.results import ResultCode

__all__ = ["USAGE_EXIT_CODE", "derive_exit_code"]

#: Given by the command-line library for unknown commands, options and arguments.
USAGE_EXIT_CODE = 1

_HUNDRED = 100
_TEN = 10
_SUCCESS_CODES = (ResultCode.OK, ResultCode.ACCEPTED, ResultCode.REPLAYED)


def derive_exit_code(code: ResultCode) -> int:
    """Return the exit code of a result code: 0 when done, else hundreds and units.

    The result code 107 ends with 17, 304 with 34 and 500 with 50.
    """
    if code in _SUCCESS_CODES:
        return 0
    return code.number // _HUNDRED * _TEN + code.number % _HUNDRED
