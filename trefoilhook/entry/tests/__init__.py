"""Tests of ``trefoilhook.entry``."""
