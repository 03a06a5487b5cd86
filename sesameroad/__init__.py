"""Sesameroad: a dispatcher for sub-second tasks."""
