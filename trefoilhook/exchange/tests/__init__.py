"""Tests of the platform package."""
