"""Tests of the account of lost worth."""
