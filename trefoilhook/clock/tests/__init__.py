"""Tests of the clock package."""
