"""Clients of the key-value store and of the cloud, which keep within the rate limits of both services.

Other packages use `key_value_store` and `cloud`; `transactions` defines transactions and their results. Both clients
are based on `service_client`, and `rate_limits` decides when a call is sent. A failed call is reported as a result; no
client raises an exception for it.
"""
