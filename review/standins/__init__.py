"""Stand-ins of the platform, workers and clients for the cases of the review.

They use the standard library only and run in the process of a case. The nodes
are separate processes, started with the command of the deploy file.
"""
