"""Tests of what holds for the package as a whole."""
