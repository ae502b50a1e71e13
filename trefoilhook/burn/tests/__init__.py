"""Tests of the burn package."""
