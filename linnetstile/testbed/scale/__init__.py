"""A fleet at size: hollow relays (shipped code, simulated clock, no sockets) beside real ones: docs/operate/scale.md"""
