"""Example programs."""
