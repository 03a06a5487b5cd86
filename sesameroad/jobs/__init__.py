"""Scheduling of jobs: election of a leader, queueing and placement."""
