"""Tests of the inner protocol."""
