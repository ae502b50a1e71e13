"""Optional decisions of the scheduler, which an operator can switch off."""

import attrs

__all__ = ["Features"]


@attrs.frozen(kw_only=True)
class Features:
    """Optional decisions of the scheduler; each is in force unless it is switched off.

    Parameters
    ----------
    reservations : bool
        Reserve the capacity that becomes free for tasks that need more than any worker
        has left.
    probing : bool
        Limit the runs of fillers beside service tasks whose tolerance of them is not
        known yet.
    arrangement : bool
        Spread the tasks of a service over workers.
    durations : bool
        Learn how long tasks take in relation to their estimates.
    headroom : bool
        Leave capacity to urgent tasks when new service tasks are placed.
    copies : bool
        Start copies of speculative tasks that take unusually long.
    rejection : bool
        Reject jobs that the backlog would keep from being served in time.
    """

    reservations: bool = True
    probing: bool = True
    arrangement: bool = True
    durations: bool = True
    headroom: bool = True
    copies: bool = True
    rejection: bool = True
