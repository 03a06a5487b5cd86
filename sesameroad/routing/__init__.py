"""Connections to endpoints, the send itself, health and retries."""
