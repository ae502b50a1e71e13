"""Tests of the logs package."""
