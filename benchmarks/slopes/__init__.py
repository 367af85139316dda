"""Slopes: what one more destination, queue, pending message, event, relay or change costs. See `__main__.py`."""
