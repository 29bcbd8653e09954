"""All that others read or store, held byte for byte against frozen files."""
