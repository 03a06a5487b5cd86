"""Key ownership: issued keys, claims, the ledger and hand-offs."""
