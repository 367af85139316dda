"""Floor 3: a relay on the users' platform. The same module as everywhere decides; the standard library is enough."""
