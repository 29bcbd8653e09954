"""What a controller is configured with: its settings file, the operators' settings, and the features that are on."""
