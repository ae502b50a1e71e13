"""Tests of the decoding package."""
