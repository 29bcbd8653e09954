"""Tests of the external formats: messages, records, files and the command line equal the frozen files byte for byte."""
