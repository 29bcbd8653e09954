"""A controller's process: its servers with their routes, its client and its event loop.

`process` puts it together; `client_routes` and `peer_routes` say which request goes where.
"""

from ramptide.service.process import Service

__all__ = ["Service"]
