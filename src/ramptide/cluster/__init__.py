"""Membership of the controllers, the messages between them, and the index of all machines.

`membership`, `view` and `member_lease` keep the membership in numbered views. `messages` defines the messages between
controllers, `peers` delivers them, and `change_log` replicates tables incrementally. `machine_index` holds the observed
machines.
"""
