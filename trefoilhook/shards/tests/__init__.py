"""Tests of the shards package."""
