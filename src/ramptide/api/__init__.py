"""The interfaces of a controller for users, operators and monitoring."""
