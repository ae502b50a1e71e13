"""Tests of the metrics package."""
