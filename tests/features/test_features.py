"""Step definitions of the feature files."""

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
    """State that the steps of a scenario share."""

    def __init__(self):
        self.trace = self.runner = None
        self.code = self.answer = None
        self.version = 0
        self.statuses = []
        self.in_flight = 0
        self.trace_dir = None


@pytest.fixture
def context():
    return Context()


@pytest.fixture(scope="module")
def shared_runner():
    runner = support.DeploymentRunner()
    try:
        runner.start()
        yield runner
    finally:
        runner.close()


@pytest.fixture
def own_runner(tmp_path):
    runner = support.DeploymentRunner(str(tmp_path))
    try:
        runner.start()
        yield runner
    finally:
        runner.close()


# ------------------------------------------------------------------- traces


@given(parsers.parse('the recorded trace "{name}"'))
def use_recorded_trace(context, name):
    context.trace = TRACES / f"{name}.trace"
    assert context.trace.stat().st_size < 300_000


def replay(context, outcomes):
    context.code, context.answer = support.run_main(
        "replay", str(context.trace), "--outcomes", str(outcomes)
    )


@when("it is replayed against its stated outcomes")
def replay_against_expected_outcomes(context):
    replay(context, context.trace.with_suffix(".toml"))


@when(parsers.parse('it is replayed against "{table}" with "{line}"'))
def replay_against_custom_outcomes(context, tmp_path, table, line):
    outcomes = tmp_path / "outcomes.toml"
    outcomes.write_text(f"{table}\n{line}\n")
    replay(context, outcomes)


@then("no invariant is violated")
def check_no_violation(context):
    assert context.answer["violations"] == []
    assert context.answer["outcomes"]


@then("a second replay gives the same digest")
def check_same_digest(context):
    digest = context.answer["digest"]
    replay_against_expected_outcomes(context)
    assert context.answer["digest"] == digest


# -------------------------------------------------------------- deployments


@given("a running deployment")
def use_shared_deployment(context, shared_runner):
    context.runner = shared_runner


@given("a running deployment of its own")
def use_own_deployment(context, own_runner, tmp_path):
    context.runner = own_runner
    context.trace_dir = tmp_path


@when(parsers.parse('the operator runs "{text}"'))
def run_command(context, text):
    context.code, context.answer = context.runner.run_command(text)


@when(parsers.parse('another operator runs "{text}"'))
def run_command_on_other_node(context, text):
    code, answer = context.runner.run_command(text, node="yumbo-2")
    assert code == 0, answer


@given("the operator knows the configuration version")
def read_config_version(context):
    _, answer = context.runner.run_command("config where key=version")
    context.version = answer["rows"][0]["value"]


@when(parsers.parse('the operator runs "{text}" at that version'))
def run_command_at_version(context, text):
    context.code, context.answer = context.runner.run_command(
        text, "--if-version", str(context.version)
    )


@then(parsers.parse("the exit code is {code:d}"))
def check_exit_code(context, code):
    assert context.code == code, context.answer


def command_rows(context, text, node):
    code, answer = context.runner.run_command(text, node=node)
    assert code == 0, answer
    return answer["rows"]


def wait_for_value_on_all_nodes(context, text, column, expected):
    def shown():
        return all(
            [row[column] for row in command_rows(context, text, node)]
            == [expected]
            for node in context.runner.deployment.nodes
        )

    support.wait_until(shown)


@then(
    parsers.parse('eventually every node shows worker "{worker}" as "{state}"')
)
def check_worker_state(context, worker, state):
    text = f"workers where worker={worker}"
    wait_for_value_on_all_nodes(context, text, "state", state)


@then(parsers.parse('eventually every node shows "{key}" as {value:d}'))
def check_config_value(context, key, value):
    text = f"config where key={key}"
    wait_for_value_on_all_nodes(context, text, "value", value)


@when(
    parsers.parse(
        'a job "{key}" of {count:d} tasks with {cpus:d} processors is submitted'
    )
)
def submit_job(context, tmp_path, key, count, cpus):
    path = tmp_path / "job.json"
    spec = {
        "team": "sealing",
        "kind": "batch",
        "tasks": count,
        "size": {"cpus": float(cpus), "memory_mb": 1000},
        "run_time_ms": 500,
    }
    path.write_text(json.dumps(spec))
    code, answer = context.runner.run_command(f"submit {path}", "--key", key)
    assert code == 0, answer


@then(parsers.parse('eventually job "{key}" is finished'))
def check_job_finished(context, key):
    text = f"jobs where job=sealing.{key}"

    def ended():
        found = command_rows(context, text, "yumbo-1")
        return found and found[0]["finished"] == found[0]["tasks"]

    support.wait_until(ended)


@then(parsers.parse('no task of job "{key}" ran on "{worker}"'))
def check_no_task_ran_on(context, key, worker):
    ledger = context.runner.deployment.ledger
    for index in range(2):
        intervals = ledger.record(f"sealing.{key}/{index}").intervals
        assert intervals
        assert worker not in {interval.worker for interval in intervals}


@then(parsers.parse('eventually "{text}" names the reason "{reason}"'))
def check_reason(context, text, reason):
    def named():
        _, answer = context.runner.run_command(text)
        return reason in json.dumps(answer.get("rows", []))

    support.wait_until(named)


@when(parsers.parse("{count:d} requests are sent"))
def send_requests(context, count):
    async def send():
        runner = context.runner
        return await asyncio.gather(*(runner.request(i) for i in range(count)))

    context.statuses = context.runner.run(send())


@when(
    parsers.parse('{count:d} requests are sent while node "{node}" is stopped')
)
def send_requests_during_stop(context, count, node):
    runner = context.runner
    pending = set()

    async def send():
        for number in range(count):
            task = asyncio.create_task(runner.request(number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            tasks.append(task)
            await asyncio.sleep(0.05)

    async def scenario():
        sender = asyncio.create_task(send())
        while len(tasks) < count // 4:
            await asyncio.sleep(0.01)
        context.in_flight = len(pending)
        await runner.deployment.stop_node(node)
        await sender
        return await asyncio.gather(*tasks)

    tasks = []
    context.statuses = runner.run(scenario())


@then("all requests are answered")
def check_all_answered(context):
    assert context.statuses
    assert set(context.statuses) == {200}


@then("requests were in flight when the stop began")
def check_requests_in_flight(context):
    assert context.in_flight > 0


@then(
    parsers.parse(
        'eventually the other node no longer counts "{node}" as alive'
    )
)
def check_node_not_alive(context, node):
    def gone():
        found = command_rows(context, f"nodes where node={node}", "yumbo-2")
        return not found or found[0]["state"] != "alive"

    support.wait_until(gone)


@when("the deployment is stopped")
def stop_deployment(context):
    context.runner.stop(graceful=True)


@then("the trace of each node replays without a violation")
def replay_node_traces(context):
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
def check_counts(context, requests, tasks):
    counts = context.answer
    assert sum(count["requests"] for count in counts) == requests
    assert sum(count["tasks_finished"] for count in counts) == tasks
