"""Random sampling of candidate workers on large fleets.

Rating all workers for each waiting step takes time proportional to the fleet size, and
during a round the owner neither polls workers nor sends orders. The
relative rank of the best worker in a random sample depends on the size of the sample
and not on the size of the fleet [1]_.

References
----------
.. [1] A. Verma et al., "Large-scale cluster management at Google with Borg", EuroSys
   2015, section 3.4: relaxed randomization.
"""

import random

from trefoilhook.scheduling.fleet import Worker

__all__ = ["MAX_CANDIDATES", "sample_workers"]

MAX_CANDIDATES = 400
"""Maximum number of workers that are rated without sampling, and the size of a
sample."""


def sample_workers(
    workers: list[Worker],
    generator: random.Random,
    *,
    required_label: str = "",
    data_rack: str = "",
) -> list[Worker]:
    """Return the candidate workers for a task, on a large fleet only a sample.

    Parameters
    ----------
    workers : list of Worker
        Workers that accept new tasks.
    generator : Random
        Random number generator.
    required_label : str
        Label that a worker must have; others are left out. Empty for none.
    data_rack : str
        Rack of the task's input data, whose workers are always included; empty if there
        is none.
    """
    if required_label:
        workers = [each for each in workers if required_label in each.report.labels]
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
