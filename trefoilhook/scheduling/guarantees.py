"""Guarantees a share of the jobs of every size that they are not passed over.

Among jobs of a queue, small ones are served first, which completes most jobs. Under
overload alone this order would pass over the same jobs each time: the largest. A fixed
share of the jobs of each size is therefore served before the others.
"""

import math

import attrs

__all__ = ["GUARANTEED_SHARE", "Guarantees"]

GUARANTEED_SHARE = 1 / 3
"""Share of the work of each size class that is guaranteed. Users expect the largest
jobs to be served at least half as often as all, which overload limits to about two
thirds. A larger share makes more small jobs late."""


@attrs.define(kw_only=True)
class _SizeClass:
    work: float = 0.0
    guaranteed_work: float = 0.0


@attrs.define(kw_only=True)
class Guarantees:
    """Selects the guaranteed jobs, by queue and size class.

    The jobs of a size class differ in their work by less than a factor of two.
    """

    _classes: dict[tuple[str, int], _SizeClass] = attrs.field(factory=dict, init=False)

    def admit(self, queue: str, work: float) -> bool:
        """Return whether a new job is guaranteed.

        Parameters
        ----------
        queue : str
            Queue of the job.
        work : float
            Estimated work of the job, in core-milliseconds.
        """
        work = max(1.0, work)
        size_class = self._classes.setdefault(
            (queue, int(math.log2(work))), _SizeClass()
        )
        is_guaranteed = size_class.guaranteed_work <= GUARANTEED_SHARE * size_class.work
        size_class.work += work
        if is_guaranteed:
            size_class.guaranteed_work += work
        return is_guaranteed
