"""What controllers know of each other: membership, peer messages, and the index of observed machines."""
