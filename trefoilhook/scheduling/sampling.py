"""Bounded choice of candidate workers on large fleets.

The cost of rating all workers for each waiting step grows with the fleet: a round of
18 filler steps over 3,000 workers takes 350 ms of a core, during which the owner
neither polls workers nor sends orders. How good the best worker of a random sample is
depends on the size of the sample and not on that of the fleet [1]_.

References
----------
.. [1] A. Verma et al., "Large-scale cluster management at Google with Borg", EuroSys
   2015, section 3.4: relaxed randomization.
"""

import random

from trefoilhook.scheduling.fleet import Worker

__all__ = ["MAX_CANDIDATES", "sample_workers"]

MAX_CANDIDATES = 400
"""Number of workers up to which all of them are candidates. A round over as many takes
less than the interval between two rounds."""


def sample_workers(
    workers: list[Worker], generator: random.Random, *, data_rack: str = ""
) -> list[Worker]:
    """Return the candidates for a task, all workers unless there are too many.

    Parameters
    ----------
    workers : list of Worker
        Workers that accept new tasks.
    generator : Random
        Source of randomness.
    data_rack : str
        Rack that holds the task's input data; its workers are always included. Empty
        for none.
    """
    if len(workers) <= MAX_CANDIDATES:
        return workers
    chosen = generator.sample(workers, MAX_CANDIDATES)
    if not data_rack:
        return chosen
    known = set(map(id, chosen))
    return chosen + [
        worker
        for worker in workers
        if data_rack in worker.report.labels and id(worker) not in known
    ]
