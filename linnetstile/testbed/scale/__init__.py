"""A fleet at target size: simulated relays (shipped code, simulated clock) beside real processes.

docs/operate/scale.md describes the command `linnetstile scale`, which runs it.
"""
