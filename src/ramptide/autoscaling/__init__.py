"""The management of the fleet by the leader: cluster demand, scaling decisions, rentals and returns of machines."""
