"""Floor 5: sub-commands, a file each; no logic beyond arguments and printing."""
