"""An instance on the platform: its parts, its peers and its daemon."""
