"""The sesameroad commands."""
