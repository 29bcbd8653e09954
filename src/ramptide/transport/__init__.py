"""HTTP, the event loop, and the interface between controllers and their environment."""
