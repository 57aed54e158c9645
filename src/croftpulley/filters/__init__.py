"""The filter chain that every caller's request goes through; `chain` shows the order."""
