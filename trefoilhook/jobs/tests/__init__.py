"""Tests of the jobs package."""
