"""An entry: serves callers and operators, and talks to peers and endpoints."""
