"""Which waiting task starts where: queues, placement rounds, preemption, handover and results."""
