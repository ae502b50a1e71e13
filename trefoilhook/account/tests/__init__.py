"""Tests of the loss report."""
