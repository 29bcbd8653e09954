"""The messages of the external interfaces, with one module for each system that a controller talks to.

Only this package knows the field names and paths that these interfaces use. Each message maps its field names, by
`rename`, to the names that the rest of the code uses. Read `jobs` (users) and `agents` (machines) first; `cloud` and
`key_value_store` are the services that controllers call; `settings_file` is the file with which the platform starts a
controller.
"""
