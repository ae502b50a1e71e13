"""Takeovers of a shard on simulated time: what a new owner may start, and when."""
