"""Runs all benchmarks, or those named on the command line."""

import argparse
import importlib

BENCHMARKS = (
    "datapath",
    "routing",
    "placement",
    "interference",
    "leader",
    "peers",
    "shared_state",
    "memory",
    "control",
)


def main():
    """Runs the benchmarks in order; each prints its own tables."""
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument("names", nargs="*", choices=[*BENCHMARKS, []])
    args = parser.parse_args()
    for name in args.names or BENCHMARKS:
        print(f"\n=== {name} ===", flush=True)
        importlib.import_module(f"bench.{name}").main()


if __name__ == "__main__":
    main()
