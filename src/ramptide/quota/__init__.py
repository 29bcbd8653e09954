"""Team limits that hold across all controllers: share of a limit passed on directly, on top of the leader's split.

A part that is off unless `deploy/parts.toml` switches it on; the rest of the program imports it only then.
"""
