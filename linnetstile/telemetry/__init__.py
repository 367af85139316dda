"""Layer 1: structured logging, the names of log events, and metrics in the Prometheus text format."""
