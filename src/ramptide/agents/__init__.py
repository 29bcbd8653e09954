"""The machines that this controller owns: heartbeats, commands, lease expiry, announcements of the fencing token.

Start with `shard`, which holds the parts together; `attempt_phases` shows what an attempt of a task goes through.
"""
