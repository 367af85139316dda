"""Layer 5: the sub-commands, one module each; they parse arguments and print results, and hold no other logic."""
