"""Scheduling decisions for colocated services and batch work, without I/O."""
