"""Simulation of shard takeovers: which tasks a new owner may start, and when."""
