"""Who may start a task: issued keys, claims and the ledger."""
