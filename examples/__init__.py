"""Examples of use."""
