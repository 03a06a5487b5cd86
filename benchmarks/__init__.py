"""Benchmarks: ratios and costs measured on the present machine."""
