"""The quota feature: shares of team limits passed on between controllers. Imported only where it is on."""
