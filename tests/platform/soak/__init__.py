"""Soak of scheduler processes, whose leaders and workers fail in series.

By hand: `.venv/bin/python -m tests.platform.soak --seeds 1-50`.
"""
