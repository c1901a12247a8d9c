"""Scheduling of jobs made of steps, on workers that hold leases."""
