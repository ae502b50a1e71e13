"""Tests of ``trefoilhook.executors``."""
