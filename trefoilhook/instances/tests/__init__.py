"""Tests of the instances package."""
