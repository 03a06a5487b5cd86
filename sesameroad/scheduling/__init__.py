"""Selects the next task to start and the slot of the data centre to use."""
