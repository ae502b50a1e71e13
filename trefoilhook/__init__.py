"""A scheduler for latency-critical services and batch work that share machines."""

__all__ = ["__version__"]

__version__ = "0.1.0"
