"""Clients of the key-value store and of the cloud, within their rate limits."""
