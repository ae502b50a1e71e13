"""The operators' command-line tool; talks only to the admin API."""

from trefoilhook.command.application import SPECS, build_application
from trefoilhook.command.exits import USAGE_EXIT, derive_exit_code

__all__ = ["SPECS", "USAGE_EXIT", "build_application", "derive_exit_code"]
