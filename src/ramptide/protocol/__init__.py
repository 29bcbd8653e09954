"""The edge: messages of the outside interfaces, by the system at the other end.

This package is the only place that knows the field names and paths on the wire. Each message maps them, by `rename`, to
the names that the rest of the code uses. Read `jobs` (users) and `agents` (machines) first; `cloud` and
`key_value_store` are the services that controllers call; `settings_file` is what the platform starts them with.
"""
