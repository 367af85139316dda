"""Floor 0: what is decided. Standard library only, no input or output; time comes in as an argument."""
