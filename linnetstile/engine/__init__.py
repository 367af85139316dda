"""Floor 0: every decision of a relay. Standard library, no I/O, no clock; one `random.Random` that is passed in.

All times are in ms on the host's clock unless a name or docstring says otherwise.
"""
