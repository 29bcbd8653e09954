"""HTTP/1.1 on the event loop: one parser for every role, a server, and a client that keeps connections open."""
