"""The operators' command-line tool; talks only to the admin API."""

from trefoilhook.command.application import SPECS, build_application
from trefoilhook.command.exit_codes import USAGE_EXIT_CODE, derive_exit_code

__all__ = ["SPECS", "USAGE_EXIT_CODE", "build_application", "derive_exit_code"]
