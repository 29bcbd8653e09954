"""Clients of the key-value store and of the cloud, within their rate limits.

`key_value_store` and `cloud` are what the other packages use; `transactions` holds what is committed and its results.
`service_client` is what both clients have in common, and `rate_limits` decides when a call is sent. A failed call is a
result like any other: no client raises.
"""
