"""Tests. Property tests use a fixed seed so that every run is the same."""

import hypothesis

hypothesis.settings.register_profile(
    "fixed", derandomize=True, database=None, deadline=None
)
hypothesis.settings.load_profile("fixed")
