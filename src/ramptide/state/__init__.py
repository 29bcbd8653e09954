"""Stored records, the watch cache of the key-value store, and the batching of writes."""
