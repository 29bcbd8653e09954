"""One controller: connects its parts, routes events to them and runs the decision loop."""
