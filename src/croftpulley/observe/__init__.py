"""What an operator sees: numbered log events, structured logs and metrics."""
