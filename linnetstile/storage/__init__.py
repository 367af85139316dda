"""Layer 2: durable files, which outlive the process."""
