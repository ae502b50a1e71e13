"""Tests of the http package."""
