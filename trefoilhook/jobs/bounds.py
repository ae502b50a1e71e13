"""How much of what a worker tells is kept."""

import attrs

from trefoilhook.jobs.messages import TaskNews, TaskStatus

__all__ = ["MAX_KEPT_CHARACTERS", "bound_news"]

# Twelve bytes a character at worst, as the journal encodes them: below the megabyte
# that the store holds in a value, with room for the records beside it.
MAX_KEPT_CHARACTERS = 65_536

_CUT_MARK = " [cut]"
_REFUSED_CHECKPOINT = "the checkpoint is too large to keep"


def bound_news(news: TaskNews) -> TaskNews:
    """Return news that the journal can hold.

    Guards against one job that stops a whole shard: a result or checkpoint larger than
    a value of the store can never be recorded, and since the worker keeps it until it
    is, every later owner would fail on it as well. A long result is cut and says so. A
    checkpoint is worth nothing in part, so its attempt counts as failed.

    Parameters
    ----------
    news : TaskNews
        What the worker said.
    """
    if len(news.checkpoint) > MAX_KEPT_CHARACTERS:
        return attrs.evolve(
            news,
            status=TaskStatus.FAILED,
            checkpoint="",
            result=_REFUSED_CHECKPOINT,
        )
    if len(news.result) > MAX_KEPT_CHARACTERS:
        kept = MAX_KEPT_CHARACTERS - len(_CUT_MARK)
        return attrs.evolve(news, result=news.result[:kept] + _CUT_MARK)
    return news
