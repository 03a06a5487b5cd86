"""Jobs: who schedules them, in which order, and on which endpoints."""
