"""Benchmarks; figures are ratios of runs within one process."""
