import argparse
import asyncio
import pathlib
import sys
import tempfile

from tests.platform.soak import play

parser = argparse.ArgumentParser(prog="python -m tests.platform.soak")
parser.add_argument("--seeds", default="1-6", help="such as 7 or 1-50")
parser.add_argument("--logs", help="folder of the logs of each seed")
args = parser.parse_args()
first, _, last = args.seeds.partition("-")
logs = pathlib.Path(args.logs or tempfile.mkdtemp(prefix="soak-"))
print(f"logs in {logs}")
# 1 if a bound was broken, 2 if a seed could not be played.
status = 0
for seed in range(int(first), int(last or first) + 1):
    try:
        lines, broken = asyncio.run(play.play(seed, logs / f"seed-{seed}"))
    except TimeoutError as exc:
        lines, broken = [f"could not run: {exc}"], False
        status = status or 2
    if broken:
        status = 1
    print(f"seed {seed}:", "\n  ".join(lines), flush=True)
sys.exit(status)
