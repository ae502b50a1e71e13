"""Tests of ``trefoilhook.instances``."""
