"""Checked JSON settings of a process."""
