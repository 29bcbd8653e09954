"""What users, operators and monitoring ask of a controller, and what they are answered."""
