"""What the controllers keep in the key-value store, and how they follow and change it.

`records` are the stored forms, `jobs` a job as it is worked with. `watch_cache` follows the store, `commit_batcher`
changes it. `task_state` and `amounts` are the values that schedulers, owners of machines and messages share.
"""
