"""An entry instance: HTTP in front, peers beside, endpoints behind."""
