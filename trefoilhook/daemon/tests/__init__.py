"""Tests of the daemon, as processes of their own."""
