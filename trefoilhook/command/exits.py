"""Exit codes, derived from result codes."""

from trefoilhook.results import ResultCode

__all__ = ["USAGE_EXIT_CODE", "derive_exit_code"]

#: Also used by the command-line library for unknown commands, options and arguments.
USAGE_EXIT_CODE = 1

_HUNDRED = 100
_TEN = 10
_SUCCESS_CODES = (ResultCode.OK, ResultCode.ACCEPTED, ResultCode.REPLAYED)


def derive_exit_code(code: ResultCode) -> int:
    """Return the exit code for a result code: 0 for success, else hundreds and units.

    For example, the exit code is 17 for result code 107, 34 for 304 and 50 for 500.
    """
    if code in _SUCCESS_CODES:
        return 0
    return code.number // _HUNDRED * _TEN + code.number % _HUNDRED
