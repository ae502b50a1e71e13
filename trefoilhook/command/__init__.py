"""Command-line tool for operators.

Commands either call the admin API or evaluate log files.
"""

from trefoilhook.command.application import SPECS, build_application
from trefoilhook.command.exits import USAGE_EXIT_CODE, derive_exit_code

__all__ = ["SPECS", "USAGE_EXIT_CODE", "build_application", "derive_exit_code"]
