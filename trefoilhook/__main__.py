"""Entry point of the process on the users' platform: ``python -m trefoilhook``."""

import signal

# The platform may send SIGHUP as soon as it has started a process. Until the handler is
# there the signal would end it, which shows as an exit by itself with signal 1 and an
# instance less for a restart's time. The settings are read after this, so a change that
# the ignored signal told of is in them. Left is the interpreter's own start.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402

from trefoilhook.runtime.__main__ import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
