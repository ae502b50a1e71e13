"""Tests of the story package."""
