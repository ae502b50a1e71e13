"""Tests of the journal package."""
