"""The machines that this controller owns: heartbeats, commands, lease expiry, token announcements."""
