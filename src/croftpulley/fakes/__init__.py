"""Small stand-ins for engines, workers and the platform's list, with faults on demand."""
