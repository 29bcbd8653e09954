"""What controllers know of each other and of all machines.

Membership in numbered views (`membership`, `view`, `member_lease`), the messages between controllers (`messages`, their
delivery in `peers`, incremental tables in `change_log`), and the index of observed machines (`machine_index`).
"""
