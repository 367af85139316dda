"""Floor 4: partner, register and client stand-ins, scriptable with faults, each with a record of its sockets."""
