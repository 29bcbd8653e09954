"""The process of a controller: its servers with their routes, its HTTP client and its event loop.

`process` assembles the process; `client_routes` and `peer_routes` route the requests to their handlers.
"""

from ramptide.service.process import Service

__all__ = ["Service"]
