"""Slopes of what each role costs, and the arithmetic to the size aimed at."""
