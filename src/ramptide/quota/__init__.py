"""The quota feature: controllers pass shares of team limits to each other. Imported only where it is enabled."""
