"""Runs of tasks on endpoints under leases that the leader renews."""
