"""The state that controllers keep in the key-value store, and the means to follow and change it.

`records` defines the stored records, and `jobs` the unfinished job that controllers work with. `watch_cache` follows
the store, and `commit_batcher` changes it. `task_state` and `amounts` define the values that schedulers, owners of
machines and messages share.
"""
