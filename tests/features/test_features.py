"""Steps of the feature files."""

import asyncio
import json
import pathlib

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
from tests.features import support

TRACES = pathlib.Path(__file__).parent / "traces"

scenarios("replay.feature", "operation.feature")


class Context:
    """What the steps of one scenario share."""

    def __init__(self):
        self.trace = self.running = None
        self.code = self.answer = None
        self.version = 0
        self.statuses = []
        self.in_flight = 0
        self.trace_dir = None


@pytest.fixture
def context():
    return Context()


@pytest.fixture(scope="module")
def shared():
    running = support.Running()
    try:
        running.start()
        yield running
    finally:
        running.close()


@pytest.fixture
def own(tmp_path):
    running = support.Running(str(tmp_path))
    try:
        running.start()
        yield running
    finally:
        running.close()


# ------------------------------------------------------------------- traces


@given(parsers.parse('the recorded trace "{name}"'))
def recorded(context, name):
    context.trace = TRACES / f"{name}.trace"
    assert context.trace.stat().st_size < 300_000


def replay(context, outcomes):
    context.code, context.answer = support.run_main(
        "replay", str(context.trace), "--outcomes", str(outcomes)
    )


@when("it is replayed against its stated outcomes")
def replayed(context):
    replay(context, context.trace.with_suffix(".toml"))


@when(parsers.parse('it is replayed against "{table}" with "{line}"'))
def replayed_against(context, tmp_path, table, line):
    outcomes = tmp_path / "outcomes.toml"
    outcomes.write_text(f"{table}\n{line}\n")
    replay(context, outcomes)


@then("no invariant is violated")
def no_violation(context):
    assert context.answer["violations"] == []
    assert context.answer["outcomes"]


@then("a second replay gives the same digest")
def same_digest(context):
    digest = context.answer["digest"]
    replayed(context)
    assert context.answer["digest"] == digest


# -------------------------------------------------------------- deployments


@given("a running deployment")
def running(context, shared):
    context.running = shared


@given("a running deployment of its own")
def running_alone(context, own, tmp_path):
    context.running = own
    context.trace_dir = tmp_path


@when(parsers.parse('the operator runs "{text}"'))
def operate(context, text):
    context.code, context.answer = context.running.operate(text)


@when(parsers.parse('another operator runs "{text}"'))
def operate_elsewhere(context, text):
    code, answer = context.running.operate(text, node="yumbo-2")
    assert code == 0, answer


@given("the operator knows the configuration version")
def version_known(context):
    _, answer = context.running.operate("config where key=version")
    context.version = answer["rows"][0]["value"]


@when(parsers.parse('the operator runs "{text}" at that version'))
def operate_at_version(context, text):
    context.code, context.answer = context.running.operate(
        text, "--if-version", str(context.version)
    )


@then(parsers.parse("the exit code is {code:d}"))
def exit_code(context, code):
    assert context.code == code, context.answer


def rows(context, text, node):
    code, answer = context.running.operate(text, node=node)
    assert code == 0, answer
    return answer["rows"]


def eventually_everywhere(context, text, column, expected):
    def shown():
        return all(
            [row[column] for row in rows(context, text, node)] == [expected]
            for node in context.running.deployment.nodes
        )

    support.wait_until(shown)


@then(
    parsers.parse('eventually every node shows worker "{worker}" as "{state}"')
)
def worker_state(context, worker, state):
    text = f"workers where worker={worker}"
    eventually_everywhere(context, text, "state", state)


@then(parsers.parse('eventually every node shows "{key}" as {value:d}'))
def configured(context, key, value):
    text = f"config where key={key}"
    eventually_everywhere(context, text, "value", value)


@when(
    parsers.parse(
        'a job "{key}" of {count:d} tasks with {cpus:d} processors is submitted'
    )
)
def submitted(context, tmp_path, key, count, cpus):
    path = tmp_path / "job.json"
    spec = {
        "team": "sealing",
        "kind": "batch",
        "tasks": count,
        "size": {"cpus": float(cpus), "memory_mb": 1000},
        "run_time_ms": 500,
    }
    path.write_text(json.dumps(spec))
    code, answer = context.running.operate(f"submit {path}", "--key", key)
    assert code == 0, answer


@then(parsers.parse('eventually job "{key}" is finished'))
def finished(context, key):
    text = f"jobs where job=sealing.{key}"

    def ended():
        found = rows(context, text, "yumbo-1")
        return found and found[0]["finished"] == found[0]["tasks"]

    support.wait_until(ended)


@then(parsers.parse('no task of job "{key}" ran on "{worker}"'))
def ran_elsewhere(context, key, worker):
    ledger = context.running.deployment.ledger
    for index in range(2):
        intervals = ledger.record(f"sealing.{key}/{index}").intervals
        assert intervals
        assert worker not in {interval.worker for interval in intervals}


@then(parsers.parse('eventually "{text}" names the reason "{reason}"'))
def explained(context, text, reason):
    def named():
        _, answer = context.running.operate(text)
        return reason in json.dumps(answer.get("rows", []))

    support.wait_until(named)


@when(parsers.parse("{count:d} requests are sent"))
def requests_sent(context, count):
    async def send():
        running = context.running
        return await asyncio.gather(*(running.request(i) for i in range(count)))

    context.statuses = context.running.run(send())


@when(
    parsers.parse('{count:d} requests are sent while node "{node}" is stopped')
)
def requests_during_stop(context, count, node):
    running = context.running
    pending = set()

    async def send():
        for number in range(count):
            task = asyncio.create_task(running.request(number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            tasks.append(task)
            await asyncio.sleep(0.05)

    async def scenario():
        sender = asyncio.create_task(send())
        while len(tasks) < count // 4:
            await asyncio.sleep(0.01)
        context.in_flight = len(pending)
        await running.deployment.stop_node(node)
        await sender
        return await asyncio.gather(*tasks)

    tasks = []
    context.statuses = running.run(scenario())


@then("all requests are answered")
def all_answered(context):
    assert context.statuses
    assert set(context.statuses) == {200}


@then("requests were in flight when the stop began")
def in_flight(context):
    assert context.in_flight > 0


@then(
    parsers.parse(
        'eventually the other node no longer counts "{node}" as alive'
    )
)
def not_alive(context, node):
    def gone():
        found = rows(context, f"nodes where node={node}", "yumbo-2")
        return not found or found[0]["state"] != "alive"

    support.wait_until(gone)


@when("the deployment is stopped")
def stopped(context):
    context.running.stop(graceful=True)


@then("the trace of each node replays without a violation")
def traces_replay(context):
    context.answer = []
    for node in ("yumbo-1", "yumbo-2"):
        path = str(context.trace_dir / f"{node}.trace")
        code, result = support.run_main("replay", path)
        assert code == 0, result
        assert result["violations"] == []
        context.answer.append(result["counts"])


@then(
    parsers.parse(
        "the traces hold {requests:d} requests and {tasks:d} finished tasks"
    )
)
def counted(context, requests, tasks):
    counts = context.answer
    assert sum(count["requests"] for count in counts) == requests
    assert sum(count["tasks_finished"] for count in counts) == tasks
