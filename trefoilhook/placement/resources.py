"""Amounts of processor, memory and accelerators."""

import math
from collections.abc import Iterable

import attrs

__all__ = ["ZERO", "Resources", "sum_resources"]


@attrs.frozen(kw_only=True, slots=True)
class Resources:
    """An amount of processor, memory and accelerators.

    Parameters
    ----------
    cores : float
        Processor cores.
    memory_bytes : int
        Memory, in bytes.
    accelerators : int, optional
        Whole accelerators.
    """

    cores: float
    memory_bytes: int
    accelerators: int = 0

    def fits_in(self, other: "Resources") -> bool:
        """Return whether ``other`` has at least this much of every resource."""
        return (
            self.cores <= other.cores
            and self.memory_bytes <= other.memory_bytes
            and self.accelerators <= other.accelerators
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            cores=self.cores + other.cores,
            memory_bytes=self.memory_bytes + other.memory_bytes,
            accelerators=self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return this amount minus ``other``; components may be negative."""
        return Resources(
            cores=self.cores - other.cores,
            memory_bytes=self.memory_bytes - other.memory_bytes,
            accelerators=self.accelerators - other.accelerators,
        )


ZERO = Resources(cores=0.0, memory_bytes=0, accelerators=0)


def sum_resources(amounts: Iterable[Resources]) -> Resources:
    """Sum amounts without accumulating rounding errors.

    Parameters
    ----------
    amounts : iterable of Resources
        Amounts to sum.

    Returns
    -------
    Resources
        Sum; the cores are correctly rounded and independent of the order.
    """
    listed = list(amounts)
    return Resources(
        cores=math.fsum(amount.cores for amount in listed),
        memory_bytes=sum(amount.memory_bytes for amount in listed),
        accelerators=sum(amount.accelerators for amount in listed),
    )
