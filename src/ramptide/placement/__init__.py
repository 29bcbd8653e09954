"""What may run where, and which machine a task takes (pure)."""
