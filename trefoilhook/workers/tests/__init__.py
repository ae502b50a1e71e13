"""Tests of the workers package."""
