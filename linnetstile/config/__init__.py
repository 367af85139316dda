"""Floor 1: settings files in YAML, validated as a whole before anything starts."""
