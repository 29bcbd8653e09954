"""The rules of what may run where, and the choice of machines for tasks. The functions are pure."""
