"""Tests of the report on interruptions."""
