"""The machines that this controller owns: heartbeats, commands, lease expiry, announcements of the fencing token.

`shard` combines the parts and is the place to start reading; `attempt_phases` defines the phases of a task's attempt.
"""
