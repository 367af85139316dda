"""Slopes: the cost of one more destination, queue, pending message, event, relay or change. See `__main__.py`."""
