"""Compares what a trace states with what was observed."""

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
    """What a caller saw of one request.

    `result` is one of `RESULTS`; "mismatched" is a 2xx answer that is not
    complete or belongs to another request.
    """

    name: str
    token: str
    method: str
    status: int
    result: str
    latency_ms: float


class Outcome(NamedTuple):
    """One stated outcome and what was observed."""

    subject: str
    measure: str
    stated: str
    observed: Any
    holds: bool


class Observations:
    """Everything observed from outside during a drive.

    Attributes:
        responses: One per request, in order of their end.
        commands: Status of each command, by index of its line.
        submits: Status of each submission, by index of its line.
        events: Results of injected events, by index; "" when done.
    """

    def __init__(self):
        self.responses: list[Response] = []
        self.commands: dict[int, str] = {}
        self.submits: dict[int, str] = {}
        self.events: dict[int, str] = {}

    def of(self, name: str) -> list[Response]:
        """Returns the responses of one burst."""
        return [r for r in self.responses if r.name == name]


def judge(
    lines: list[trace.Line],
    seen: Observations,
    ledger: ledger_lib.Ledger,
    violations: list[str],
) -> list[Outcome]:
    """Returns every stated outcome, those of the invariants included."""
    judged = []
    for index, line in enumerate(lines):
        kind = line["kind"]
        if kind == "request":
            judged += _judge_requests(line, seen.of(line["name"]))
        elif kind == "submit":
            judged += _judge_job(line, seen.submits.get(index, ""), ledger)
        elif kind == "command":
            judged.append(_judge_command(line, seen.commands.get(index, "")))
        elif kind == "event":
            result = seen.events.get(index, "not injected")
            subject = f"event {line['op']}"
            judged.append(_equal(subject, "error", "", result))
    judged += _judge_measures(lines, ledger)
    judged += _judge_invariants(seen, ledger, violations)
    return judged


def _equal(subject, measure, stated, observed):
    return Outcome(
        subject, measure, str(stated) or "none", observed, stated == observed
    )


def _at_most(subject, measure, bound, observed):
    holds = observed <= bound
    return Outcome(subject, measure, f"<= {bound:g}", observed, holds)


def _at_least(subject, measure, bound, observed):
    holds = observed >= bound
    return Outcome(subject, measure, f">= {bound:g}", observed, holds)


def _judge_requests(line, responses):
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


def _judge_job(line, status, ledger):
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


def jobs_hold(
    lines: list[trace.Line],
    seen: Observations,
    ledger: ledger_lib.Ledger,
) -> bool:
    """True when the stated outcomes of all accepted jobs hold."""
    for index, line in enumerate(lines):
        if line["kind"] != "submit" or seen.submits.get(index) != "done":
            continue
        if not all(o.holds for o in _judge_job(line, "done", ledger)):
            return False
    return True


def _judge_command(line, status):
    subject = f"command {line['text']}"
    return _equal(subject, "status", line["expect"]["status"], status)


def all_tasks(lines: list[trace.Line]) -> list[str]:
    """Returns the tasks of all submitted jobs."""
    return [
        task
        for line in lines
        if line["kind"] == "submit"
        for task in trace.task_ids(line)
    ]


def _judge_measures(lines, ledger):
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


def _judge_invariants(seen, ledger, violations):
    """Invariants I1 to I6, which every trace states."""
    subject = "invariants"
    yield _equal(subject, "I1 overcommitted", 0, len(violations))
    yield _equal(subject, "I2 ran twice at once", 0, len(ledger.overlaps))
    mismatched = sum(1 for r in seen.responses if r.result == MISMATCHED)
    yield _equal(subject, "I4 wrong or cut responses", 0, mismatched)
    false = sum(
        1
        for r in seen.responses
        if r.result == NOT_RUN and r.token in ledger.requests
    )
    yield _equal(subject, 'I5 false "not run"', 0, false)
    twice = sum(
        1
        for r in seen.responses
        if r.method in ("POST", "PATCH")
        and len(ledger.requests.get(r.token, ())) > 1
    )
    yield _equal(subject, "I6 non-idempotent run twice", 0, twice)


def response_rows(lines, seen: Observations) -> list[dict[str, Any]]:
    """Returns one row per burst: results and latency quantiles."""
    rows = []
    for line in lines:
        if line["kind"] != "request":
            continue
        responses = seen.of(line["name"])
        results = collections.Counter(r.result for r in responses)
        row = {"requests": line["name"], "sent": len(responses)}
        row |= {result: results[result] for result in RESULTS}
        latencies = [r.latency_ms for r in responses] or [0.0]
        row["p50 ms"] = round(simulation.quantile(latencies, 0.5), 1)
        row["p99 ms"] = round(simulation.quantile(latencies, 0.99), 1)
        rows.append(row)
    return rows


def job_rows(lines, ledger: ledger_lib.Ledger) -> list[dict[str, Any]]:
    """Returns one row per job with the ledger's counts.

    `lost` and `finished once` are left empty for jobs without end.
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
