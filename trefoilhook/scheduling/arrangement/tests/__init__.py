"""Tests of the arrangement of service tasks."""
