"""Checks of a configuration before it is sent, without a fleet."""
