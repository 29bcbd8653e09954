"""Team limits: how they are used, and the leader's split of them among the controllers."""
