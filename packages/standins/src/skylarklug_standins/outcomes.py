"""Compares the expected outcomes of a trace with the observed ones."""

import collections
from typing import Any
from typing import NamedTuple

from skylarklug_standins import ledger as ledger_lib
from skylarklug_standins import simulation
from skylarklug_standins import trace

OK = "ok"
NOT_RUN = "not run"
UNKNOWN = "unknown"
NO_ANSWER = "no answer"
MISMATCHED = "mismatched"
RESULTS = (OK, NOT_RUN, UNKNOWN, NO_ANSWER, MISMATCHED)


class Response(NamedTuple):
    """The response to one request, as its caller received it.

    `result` is one of `RESULTS`; "mismatched" is a 2xx response that is
    truncated or belongs to another request.
    """

    name: str
    token: str
    method: str
    status: int
    result: str
    latency_ms: float


class Outcome(NamedTuple):
    """One expected outcome, with the observed value.

    Attributes:
        subject: Request burst, job, command, event or invariant.
        measure: Name of the value.
        stated: Expected value or bound.
        observed: Observed value.
        holds: Whether the observed value meets the expectation.
    """

    subject: str
    measure: str
    stated: str
    observed: Any
    holds: bool


class Observations:
    """Everything that clients of the deployment observed during a run.

    Attributes:
        responses: One per request, in order of completion.
        commands: Status of each command, by index of its line.
        submits: Status of each submission, by index of its line.
        events: Error of each injected event, by index of its line; "" if it
            was successful.
    """

    def __init__(self):
        self.responses: list[Response] = []
        self.commands: dict[int, str] = {}
        self.submits: dict[int, str] = {}
        self.events: dict[int, str] = {}

    def responses_of(self, name: str) -> list[Response]:
        """Returns the responses to one burst of requests."""
        return [r for r in self.responses if r.name == name]


def evaluate(
    lines: list[trace.Line],
    observations: Observations,
    ledger: ledger_lib.Ledger,
    violations: list[str],
) -> list[Outcome]:
    """Returns the outcomes of all lines and of the invariants."""
    results = []
    for index, line in enumerate(lines):
        kind = line["kind"]
        if kind == "request":
            results += _evaluate_requests(
                line, observations.responses_of(line["name"])
            )
        elif kind == "submit":
            results += _evaluate_job(
                line, observations.submits.get(index, ""), ledger
            )
        elif kind == "command":
            results.append(
                _evaluate_command(line, observations.commands.get(index, ""))
            )
        elif kind == "event":
            result = observations.events.get(index, "not injected")
            subject = f"event {line['op']}"
            results.append(_equal(subject, "error", "", result))
    results += _evaluate_measures(lines, ledger)
    results += _evaluate_invariants(observations, ledger, violations)
    return results


def _equal(subject, measure, expected, observed):
    return Outcome(
        subject,
        measure,
        str(expected) or "none",
        observed,
        expected == observed,
    )


def _at_most(subject, measure, bound, observed):
    holds = observed <= bound
    return Outcome(subject, measure, f"<= {bound:g}", observed, holds)


def _at_least(subject, measure, bound, observed):
    holds = observed >= bound
    return Outcome(subject, measure, f">= {bound:g}", observed, holds)


def _evaluate_requests(line, responses):
    subject = f"request {line['name']}"
    yield _equal(subject, "sent", line["count"], len(responses))
    if not responses:
        return
    errors = sum(1 for r in responses if r.result != OK) / len(responses)
    bound = line["expect"]["errors_at_most"]
    yield _at_most(subject, "errors", bound, round(errors, 5))
    if "p99_ms_at_most" not in line["expect"]:
        return
    latencies = [r.latency_ms for r in responses]
    p99 = round(simulation.quantile(latencies, 0.99), 1)
    bound = line["expect"]["p99_ms_at_most"]
    yield _at_most(subject, "p99 ms", bound, p99)


def _evaluate_job(line, status, ledger):
    subject = f"job {trace.job_id(line)}"
    yield _equal(subject, "submitted", "done", status)
    tasks = trace.task_ids(line)
    expect = line["expect"]
    counts = ledger.count(tasks)
    if "finished" in expect:
        finished = expect["finished"]
        yield _equal(subject, "finished once", finished, counts.finished_once)
        yield _equal(subject, "lost", len(tasks) - finished, counts.lost)
    if "alive" in expect:
        alive = sum(1 for task in tasks if ledger.record(task).open_interval())
        yield _equal(subject, "alive", expect["alive"], alive)
    yield _equal(subject, "duplicated", 0, counts.duplicated)


def jobs_as_expected(
    lines: list[trace.Line],
    observations: Observations,
    ledger: ledger_lib.Ledger,
) -> bool:
    """Returns whether the expected outcomes of all accepted jobs hold."""
    for index, line in enumerate(lines):
        if (
            line["kind"] != "submit"
            or observations.submits.get(index) != "done"
        ):
            continue
        if not all(o.holds for o in _evaluate_job(line, "done", ledger)):
            return False
    return True


def _evaluate_command(line, status):
    subject = f"command {line['text']}"
    return _equal(subject, "status", line["expect"]["status"], status)


def all_tasks(lines: list[trace.Line]) -> list[str]:
    """Returns the task ids of all submitted jobs."""
    return [
        task
        for line in lines
        if line["kind"] == "submit"
        for task in trace.task_ids(line)
    ]


def _evaluate_measures(lines, ledger):
    counts = ledger.count(all_tasks(lines))
    for line in lines:
        if line["kind"] != "outcome":
            continue
        measure = line["measure"]
        observed = getattr(counts, measure)
        if "at_least" in line:
            yield _at_least("all jobs", measure, line["at_least"], observed)
        if "at_most" in line:
            yield _at_most("all jobs", measure, line["at_most"], observed)


def _evaluate_invariants(observations, ledger, violations):
    """Checks invariants I1, I2 and I4 to I6, which apply to every trace."""
    subject = "invariants"
    yield _equal(subject, "I1 overcommitted", 0, len(violations))
    yield _equal(subject, "I2 ran twice at once", 0, len(ledger.overlaps))
    mismatched = sum(
        1 for r in observations.responses if r.result == MISMATCHED
    )
    yield _equal(subject, "I4 wrong or truncated responses", 0, mismatched)
    false_not_run = sum(
        1
        for r in observations.responses
        if r.result == NOT_RUN and r.token in ledger.requests
    )
    yield _equal(subject, 'I5 false "not run"', 0, false_not_run)
    run_twice = sum(
        1
        for r in observations.responses
        if r.method in ("POST", "PATCH")
        and len(ledger.requests.get(r.token, ())) > 1
    )
    yield _equal(subject, "I6 non-idempotent run twice", 0, run_twice)


def response_rows(lines, observations: Observations) -> list[dict[str, Any]]:
    """Returns one row per burst, with result counts and latency quantiles."""
    rows = []
    for line in lines:
        if line["kind"] != "request":
            continue
        responses = observations.responses_of(line["name"])
        results = collections.Counter(r.result for r in responses)
        row = {"requests": line["name"], "sent": len(responses)}
        row |= {result: results[result] for result in RESULTS}
        latencies = [r.latency_ms for r in responses] or [0.0]
        row["p50 ms"] = round(simulation.quantile(latencies, 0.5), 1)
        row["p99 ms"] = round(simulation.quantile(latencies, 0.99), 1)
        rows.append(row)
    return rows


def job_rows(lines, ledger: ledger_lib.Ledger) -> list[dict[str, Any]]:
    """Returns one row per job, with the counts of the ledger.

    `lost` and `finished once` are empty for jobs that run indefinitely.
    """
    rows = []
    for line in lines:
        if line["kind"] != "submit":
            continue
        tasks = trace.task_ids(line)
        counts = ledger.count(tasks)._asdict()
        if "finished" not in line["expect"]:
            counts |= {"finished_once": "", "lost": ""}
        alive = [t for t in tasks if ledger.record(t).open_interval()]
        row = {"job": trace.job_id(line), "tasks": len(tasks)}
        row |= {key.replace("_", " "): n for key, n in counts.items()}
        row["running"] = len(alive)
        rows.append(row)
    return rows
