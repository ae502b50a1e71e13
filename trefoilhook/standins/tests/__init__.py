"""Tests of the standins package."""
