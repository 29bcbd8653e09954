"""Scheduling of tasks on machines: job state, placement rounds, preemption, handover of jobs and results."""
