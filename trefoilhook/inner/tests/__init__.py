"""Tests of the inter-instance protocol."""
