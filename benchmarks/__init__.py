"""Measurements. Figures depend on the machine; ratios are what they are for."""
