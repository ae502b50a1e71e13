"""Tests of the runtime package."""
