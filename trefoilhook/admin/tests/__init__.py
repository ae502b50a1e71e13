"""Tests of the admin API."""
