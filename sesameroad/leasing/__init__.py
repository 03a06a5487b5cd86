"""Runs of tasks on endpoints, under leases that one steward renews."""
