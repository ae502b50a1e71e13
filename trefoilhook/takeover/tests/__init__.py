"""Tests of the takeover package."""
