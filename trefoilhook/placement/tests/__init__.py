"""Tests of the placement decisions."""
