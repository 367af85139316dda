"""Slopes: what one more destination, queue, message held, event, relay or change costs. See `__main__.py`."""
