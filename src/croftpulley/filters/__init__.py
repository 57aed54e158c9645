"""The filter chain for callers' requests; `chain` defines the order."""
