"""Tests of ``trefoilhook.requests``."""
