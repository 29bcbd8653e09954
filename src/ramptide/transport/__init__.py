"""HTTP, the event loop, and the interface between controllers and their environment.

Read `runtime` first, the interface that all other packages use; `loop_runtime` implements it for a real process.
"""
