"""Layer 0: the decision engine of a relay. Uses the standard library only, does no I/O and reads no clock.

Random numbers come from one `random.Random` that is passed in. All times are in ms on the host's clock unless a name
or docstring says otherwise.
"""
