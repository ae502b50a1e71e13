"""Entry point of the process on the users' platform: ``python -m trefoilhook``."""

import signal
import sys

# The platform may send signals as soon as it has started a process. Until the handlers
# are there SIGHUP would end it, which shows as an exit by itself with signal 1 and an
# instance less for a restart's time; and SIGTERM would end it as if it had crashed. The
# settings are read after this, so a change that the ignored signal told of is in them;
# nothing has been begun that a stop would have to finish. Left is the interpreter's own
# start.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

from trefoilhook.runtime.__main__ import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
