"""Tests of the search for service tasks that wait beside capacity."""
