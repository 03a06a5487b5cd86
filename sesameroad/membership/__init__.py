"""Membership: which entries and endpoints are live."""
