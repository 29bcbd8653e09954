"""ramptide: a cluster scheduler that rents machines and decides what runs where."""

__version__ = "0.1.0"
