"""HTTP, the event loop, and the interface between controllers and their environment.

Start with `runtime`, the interface that all other packages use; `loop_runtime` implements it for a real process.
"""
