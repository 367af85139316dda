"""Layer 4: plays days with real relays, and checks the records of the runs against the delivery rules."""
