"""Validated JSON settings of a process."""
