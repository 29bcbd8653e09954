"""The configuration of a controller: its settings file, the operators' settings, and the features that are on."""
