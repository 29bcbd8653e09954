"""Team limits: their usage, and the leader's split of them into quota shares of the controllers."""
