"""Tests of the deployment, the driver and the judgement of outcomes."""

import asyncio
import json
import pathlib
import types

from tests.standins import support
from tornado import web

from skylarklug_standins import deployment as deployment_lib
from skylarklug_standins import driver as driver_lib
from skylarklug_standins import faults
from skylarklug_standins import ledger as ledger_lib
from skylarklug_standins import outcomes
from skylarklug_standins import run
from skylarklug_standins import settings

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "casva.toml"


class RelayNode:
    """A node that passes requests to any worker and starts no tasks."""

    created = []

    def __init__(self, cfg):
        self.cfg = cfg
        self.created.append(self)

    async def start(self):
        owner = {"owner": self}
        self.caller = faults.Listener(
            web.Application(
                [("/ready", _Ready, owner), ("/svc/.*", _Relay, owner)],
                log_function=lambda handler: None,
            )
        )
        self.operator = faults.Listener(
            web.Application([("/operator/command", _Command, owner)])
        )
        self.caller.open(self.cfg["caller"]["port"])
        self.operator.open(self.cfg["operator"]["port"])

    async def kill(self):
        await self.caller.close()
        await self.operator.close()

    stop = kill


class _Ready(faults.JsonHandler):
    def get(self):
        self.write_json({})


class _Relay(faults.JsonHandler):
    async def get(self):
        url = f"{self.owner.cfg['platform']['vm_list']}/vms"
        _, listing = await support.fetch_json(url)
        vm = listing["vms"][0]
        response = await support.fetch(
            f"http://{vm['address']}{self.request.uri}"
        )
        self.finish(response.body)


class _Command(faults.JsonHandler):
    def post(self):
        token = self.request.headers["Authorization"].split()[1]
        role = self.owner.cfg["tokens"][token]
        body = self.read_json()
        rows = [{"command": body["command"], "role": role}]
        self.write_json({"status": "done", "rows": rows})


def small_settings():
    cfg = settings.load(EXAMPLE)
    for data_centre in cfg["data_centres"]:
        data_centre["racks"][0]["workers"] = 1
    return cfg | {"nodes_per_data_centre": 1, "settle_ms": 0}


# Fewer requests than a worker has slots: the relay sends all of them to one
# worker, whose guard must not refuse any, however slow the machine is.
REQUEST_LINE = {
    "kind": "request",
    "at": 0,
    "name": "lookups",
    "service": "certvault",
    "path": "/heat",
    "method": "GET",
    "count": 7,
    "every_ms": 5,
    "expect": {"errors_at_most": 0.0},
}


class TestDeployment:
    def test_node_settings_and_first_configuration(self):
        """Guards against settings that differ from what nodes expect."""

        async def scenario():
            RelayNode.created.clear()
            deployment = deployment_lib.Deployment(
                small_settings(), node_class=RelayNode, trace_dir="/t"
            )
            await deployment.start()
            try:
                cfg = RelayNode.created[0].cfg
                _, current = deployment.table.get("config/current")
                _, first = deployment.table.get("config/history/1")
            finally:
                await deployment.stop()
            assert " ".join(cfg) == (
                "node data_centre region seed caller operator peer platform"
                " tokens nodes nodes_per_data_centre partitions stop trace"
            )
            ports = {node["forward"] for node in cfg["nodes"]}
            ports |= {node["address"] for node in cfg["nodes"]}
            assert len(ports) == 6
            assert cfg["trace"] == "/t/yumbo-1.trace"
            assert current["version"] == 1
            assert current["document"]["services"]["certvault"] == {
                "slots": 8,
                "connections": 64,
                "timeout_ms": 2000,
                "queue": 200,
            }
            assert first == current

        asyncio.run(scenario())


class TestDrive:
    def test_exit_status_follows_the_stated_outcomes(self, capsys):
        """Guards against a run that passes while an outcome is missed."""
        lines = [
            REQUEST_LINE,
            {"kind": "event", "at": 50, "op": "kill-worker", "worker": "w-03"},
            {
                "kind": "command",
                "at": 0,
                "text": "jobs",
                "expect": {"status": "done"},
            },
        ]

        def drive():
            return asyncio.run(
                run.drive(small_settings(), lines, node_class=RelayNode)
            )

        assert drive() == run.EXIT_DONE
        assert "9 of 9 outcomes hold" in capsys.readouterr().out
        lines[2]["expect"] = {"status": "conflict"}
        assert drive() == run.EXIT_NOT_MET
        assert "8 of 9 outcomes hold" in capsys.readouterr().out


class TestJudgement:
    def test_every_broken_invariant_is_found(self):
        """Guards against an invariant that no observation can break."""
        ledger = ledger_lib.Ledger(support.Clock())
        seen = outcomes.Observations()
        for method, result in (
            ("POST", outcomes.NOT_RUN),
            ("GET", outcomes.MISMATCHED),
        ):
            seen.responses.append(
                outcomes.Response("x", method, method, 0, result, 1.0)
            )
        ledger.run_request("POST", "w-1")
        ledger.run_request("POST", "w-2")
        ledger.begin("a", 1, "w-1")
        ledger.begin("a", 2, "w-2")
        judged = outcomes.judge([], seen, ledger, ["w-1: committed"])
        assert [o.observed for o in judged] == [1, 1, 1, 1, 1]
        assert not any(o.holds for o in judged)

    def test_job_outcomes_count_executions(self):
        """Guards against trusting what the system says about a job."""
        spec = {"team": "sealing", "tasks": 2}
        line = {
            "kind": "submit",
            "key": "k",
            "spec": spec,
            "expect": {"finished": 2, "alive": 0},
        }
        ledger = ledger_lib.Ledger(support.Clock())
        seen = outcomes.Observations()
        seen.submits[0] = "done"
        ledger.plan("sealing.k/0", 1, 0, 1)
        ledger.complete_unit("sealing.k/0", 1, 0)
        ledger.finish("sealing.k/0", 1)
        judged = outcomes.judge([line], seen, ledger, [])
        failed = {o.measure: o.observed for o in judged if not o.holds}
        assert failed == {"finished once": 1, "lost": 1}
        assert not outcomes.jobs_hold([line], seen, ledger)


class TestClassify:
    def test_cut_and_foreign_answers_are_mismatched(self):
        """Guards against counting a wrong answer as a success."""

        def result(**body):
            answer = types.SimpleNamespace(code=200, body=json.dumps(body))
            return driver_lib.classify(answer, "GET", "t", 2)

        assert result(token="t", padding="xx") == outcomes.OK
        assert result(token="u", padding="xx") == outcomes.MISMATCHED
        assert result(token="t", padding="x") == outcomes.MISMATCHED
        assert driver_lib.classify(None, "GET", "t", 2) == outcomes.NO_ANSWER
