"""Measurements, as ratios from the same run against baselines kept here."""
