"""Benchmarks, most of which compare with a baseline measured in the same run."""
