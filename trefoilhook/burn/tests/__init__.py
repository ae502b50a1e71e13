"""Tests of the service-level burn."""
