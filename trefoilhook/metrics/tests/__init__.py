"""Tests of the metrics."""
