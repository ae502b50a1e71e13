"""Tests of the history of an id."""
