"""One controller: it wires the parts together, routes events to them and runs the decision loop."""
