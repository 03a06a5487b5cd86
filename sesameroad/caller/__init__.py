"""The callers' library."""
