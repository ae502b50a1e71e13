"""Tests of the simulated takeovers."""
