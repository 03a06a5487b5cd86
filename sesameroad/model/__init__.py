"""Core types shared by all packages."""
