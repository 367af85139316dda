"""Floor 2: files that outlive the process."""
