"""Tests of the strict readers."""
