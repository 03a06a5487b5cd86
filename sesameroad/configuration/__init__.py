"""The operators' versioned configuration."""
