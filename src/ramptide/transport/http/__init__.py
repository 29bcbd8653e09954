"""HTTP/1.1 on the event loop: a parser for requests and responses, a server, and a client with a connection pool."""
