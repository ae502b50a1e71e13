"""Benches and searches, which are run by hand; CI runs their tests."""
