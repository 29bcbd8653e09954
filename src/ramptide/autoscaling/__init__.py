"""The leader's fleet: when to scale out and in, the rentals, and the demand of the whole cluster."""
