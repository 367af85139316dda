"""Floor 4: days played through real relays, and the rule checker of their records."""
