"""Entry point of the ``trefoilhook`` command."""

import sys

from trefoilhook.command.application import build_application

__all__ = ["main"]


def main() -> None:
    """Run the command and exit with its code."""
    sys.exit(build_application().run())


if __name__ == "__main__":
    main()
