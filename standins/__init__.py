"""Small stand-ins of outside systems, for tests, benchmarks and the demo."""
