"""Size limits for results and checkpoints reported by workers."""

import attrs

from trefoilhook.jobs.messages import TaskStatus, TaskUpdate

__all__ = ["MAX_STORED_CHARACTERS", "limit_update_size"]

# The journal encodes a character in at most 12 bytes. The limit keeps a page below the
# store's maximum value size of 1 MB, with room for the other records of the page.
MAX_STORED_CHARACTERS = 65_536

_TRUNCATION_MARK = " [cut]"
_CHECKPOINT_TOO_LARGE = "the checkpoint is too large to keep"


def limit_update_size(update: TaskUpdate) -> TaskUpdate:
    """Return an update that is small enough for the journal.

    A result or checkpoint larger than the maximum value size of the store could never
    be recorded. Since the worker keeps it until it is acknowledged, it would block the
    whole shard, also under every later owner. A long result is truncated and marked as
    such. A partial checkpoint is useless, so its attempt counts as failed.

    Parameters
    ----------
    update : TaskUpdate
        Update received from the worker.
    """
    if len(update.checkpoint) > MAX_STORED_CHARACTERS:
        return attrs.evolve(
            update,
            status=TaskStatus.FAILED,
            checkpoint="",
            result=_CHECKPOINT_TOO_LARGE,
        )
    if len(update.result) > MAX_STORED_CHARACTERS:
        kept = MAX_STORED_CHARACTERS - len(_TRUNCATION_MARK)
        return attrs.evolve(update, result=update.result[:kept] + _TRUNCATION_MARK)
    return update
