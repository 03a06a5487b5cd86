"""Logs, metrics, the burn-rate report and the timeline of a request."""
