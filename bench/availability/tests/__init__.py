"""Tests of the search."""
