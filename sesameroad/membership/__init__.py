"""Which entries and endpoints are live."""
