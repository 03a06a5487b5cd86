"""Which task starts next, on which slots of the data centre."""
