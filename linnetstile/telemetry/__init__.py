"""Floor 1: log set-up; the names of events in one place."""
