"""Scale runs: a fleet of the target size in simulated relays, and a comparison with a few relay processes.

The simulated relays run the shipped code on a simulated clock. docs/operate/scale.md describes the command
`linnetstile scale`, which starts a scale run.
"""
