import argparse
import asyncio
import pathlib
import sys

from tests.platform.soak import play

parser = argparse.ArgumentParser(prog="python -m tests.platform.soak")
parser.add_argument("--seeds", default="1-6", help="such as 7 or 1-50")
parser.add_argument("--logs", default="target/soak", help="folder of the logs")
args = parser.parse_args()
first, _, last = args.seeds.partition("-")
# 1 if a bound was broken, 2 if a seed could not be played.
status = 0
for seed in range(int(first), int(last or first) + 1):
    try:
        folder = pathlib.Path(args.logs) / f"seed-{seed}"
        lines, broken = asyncio.run(play.play(seed, folder))
    except (TimeoutError, play.Stalled) as exc:
        lines, broken = [f"could not be played: {exc}"], False
        status = status or 2
    if broken:
        status = 1
    print(f"seed {seed}:", "\n  ".join(lines), flush=True)
sys.exit(status)
