"""Floor 4: days played through real relays, and the judge of their records."""
