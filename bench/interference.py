"""Benchmark of the interference model, with fixed seeds.

Run with `python -m bench.interference` from the root of the repository. It
compares the filter with one that updates all estimates on each measurement, by
the time of an update and by the errors of the estimates.
"""

import math
import random
import time

import pytest
import tabulate

from skylarklug.scheduler import interference_model

# Best-effort images of a large deployment, of which a worker runs up to three.
IMAGES = 30
MAX_IMAGES_PER_WORKER = 3
UPDATES_PER_S = 70
DURATION_S = 60
SEEDS = (1, 2, 3)
# Limits of `interference_model.MIN_EXPLAINED_SHARE` to compare, in turn.
EXPLAINED_SHARES = (0.0, 1e-4, interference_model.MIN_EXPLAINED_SHARE, 1e-2)
# Estimates are compared with the true values after this time.
WARM_UP_S = 20
LOAD_NOISE = 0.035


def _run(seed):
    """Returns (us per update, errors of base loads, errors of coefficients)."""
    rng = random.Random(seed)
    coefficients = {}
    for number in range(IMAGES):
        is_quiet = rng.random() < 0.5
        coefficients[f"image-{number}"] = (
            rng.uniform(0, 0.1) if is_quiet else rng.uniform(1, 4)
        )
    estimates = interference_model.Estimates(0)
    spent_ns = 0
    load_errors = []
    for number in range(DURATION_S * UPDATES_PER_S):
        now = number * 1_000 // UPDATES_PER_S
        true_load = 0.48 + 0.24 * math.sin(now / 20_000 * 2 * math.pi)
        names = rng.sample(
            sorted(coefficients), rng.randint(0, MAX_IMAGES_PER_WORKER)
        )
        measured = true_load + rng.gauss(0, LOAD_NOISE)
        noise = LOAD_NOISE**2
        shares = {}
        for name in names:
            shares[name] = rng.uniform(0.02, 0.15)
            added = coefficients[name] * shares[name]
            variation = interference_model.COEFFICIENT_VARIATION * added
            measured += added + rng.gauss(0, variation / 2)
            noise += variation**2
        started = time.process_time_ns()
        estimates.inflate_variances(now)
        level = estimates.predict_base_load(("job", 0), now)
        terms = [(level, 1.0)]
        for name, share in shares.items():
            terms.append((estimates.coefficient_row(name), share))
        estimates.update(terms, measured, noise)
        spent_ns += time.process_time_ns() - started
        if now >= WARM_UP_S * 1_000:
            load_errors.append(estimates.mean[level] - true_load)
    coefficient_errors = []
    for name, row in estimates.rows.items():
        if name in coefficients:
            error = estimates.mean[row] - coefficients[name]
            coefficient_errors.append(error)
    spent_us = spent_ns / 1_000 / (DURATION_S * UPDATES_PER_S)
    return spent_us, load_errors, coefficient_errors


def _root_mean_square(errors):
    return math.sqrt(sum(error * error for error in errors) / len(errors))


def main():
    """Prints one row for each limit, in turn for each seed."""
    results = {share: ([], [], []) for share in EXPLAINED_SHARES}
    for seed in SEEDS:
        for share in EXPLAINED_SHARES:
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(interference_model, "MIN_EXPLAINED_SHARE", share)
                spent_us, load_errors, coefficient_errors = _run(seed)
            results[share][0].append(spent_us)
            results[share][1].extend(load_errors)
            results[share][2].extend(coefficient_errors)
    rows = []
    for share, (spent, load_errors, coefficient_errors) in results.items():
        rows.append(
            (
                share,
                min(spent),
                max(spent),
                _root_mean_square(load_errors),
                _root_mean_square(coefficient_errors),
            )
        )
    headers = (
        "least explained share",
        "us an update, least",
        "most",
        "base load, RMS error",
        "coefficient, RMS error",
    )
    print(f"\n{IMAGES} images, seeds {SEEDS}, {UPDATES_PER_S} updates/s")
    print(tabulate.tabulate(rows, headers=headers, floatfmt=".4g"))


if __name__ == "__main__":
    main()
