"""Helpers shared by the tests of the stand-ins."""

import asyncio
import json

from tornado import httpclient
from tornado import simple_httpclient

from skylarklug_standins import agent as agent_lib
from skylarklug_standins import ledger as ledger_lib
from skylarklug_standins import simulation

CAPACITY = {"cpus": 16.0, "memory_mb": 60000, "accelerators": 0}


async def fetch(url, method="GET", body=None, headers=None, timeout=5):
    """Returns the response, or None if the request failed without one."""
    client = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True, max_clients=200
    )
    if isinstance(body, dict):
        body = json.dumps(body)
    if body is None and method in ("POST", "PUT"):
        body = ""
    try:
        return await client.fetch(
            url,
            method=method,
            body=body,
            headers=headers or {},
            request_timeout=timeout,
            raise_error=False,
        )
    except (OSError, httpclient.HTTPError):
        return None
    finally:
        client.close()


async def fetch_json(url, method="GET", body=None):
    """Returns the status and the decoded JSON body of a response."""
    response = await fetch(url, method, body)
    return response.code, json.loads(response.body)


class Clock:
    """Virtual clock in milliseconds, set by the test."""

    def __init__(self, now=1_000_000):
        self.now = now

    def __call__(self):
        return self.now


class FakeObjectStore:
    """Object store in memory that can simulate an outage."""

    def __init__(self):
        self.objects = {}
        self.outage = False

    async def put(self, key, body):
        if self.outage:
            raise simulation.StoreUnavailable("outage")
        self.objects[key] = body

    async def get(self, key):
        if self.outage:
            raise simulation.StoreUnavailable("outage")
        return self.objects.get(key)


class AgentHarness:
    """Creates agents that share a virtual clock, a store and a ledger."""

    def __init__(self):
        self.clock = Clock()
        self.store = FakeObjectStore()
        self.ledger = ledger_lib.Ledger(self.clock)
        self._seq = 0

    def agent(self, name="w-1"):
        return agent_lib.Agent(
            name, CAPACITY, self.clock, self.ledger, self.store
        )

    async def sync(self, agent, *commands, epoch=1, lease=30_000, **options):
        """Sends a sync message and returns the response.

        `lease` is the remaining time of the lease in ms. None sends 0, which
        leaves the lease unchanged.
        """
        self._seq += 1
        lease_until = 0 if lease is None else self.clock.now + lease
        message = {
            "node": "node-1",
            "partition": "yumbo/0",
            "epoch": epoch,
            "seq": self._seq,
            "lease_until": lease_until,
            "known_revision": 0,
            "commands": list(commands),
            **options,
        }
        return await agent.sync(message)


def start(task, attempt=1, cpus=1, **fields):
    """Returns a start command for a task of ten units of 100 ms."""
    return {
        "op": "start",
        "task": task,
        "attempt": attempt,
        "size": {"cpus": cpus, "memory_mb": 100, "accelerators": 0},
        "kind": "batch",
        "run_time_ms": 1_000,
        "checkpoint": None,
        "payload": {},
        **fields,
    }


def command(op, task, attempt=1, **fields):
    """Returns a command other than start."""
    return {"op": op, "task": task, "attempt": attempt, **fields}


def states(response):
    """Returns the reported state of each (task, attempt)."""
    return {
        (task["task"], task["attempt"]): task["state"]
        for task in response["tasks"]
    }


def decorator(scenario):
    """Returns a decorator that lets pytest run async test methods.

    `scenario(self, test)` is a coroutine function that sets up the fixtures
    and passes them to the test.
    """

    def decorate(test):
        def run(self):
            asyncio.run(scenario(self, test))

        run.__name__ = test.__name__
        run.__doc__ = test.__doc__
        return run

    return decorate


@decorator
async def with_agent(self, test):
    """Runs an async test method with a new harness and one of its agents."""
    harness = AgentHarness()
    await test(self, harness, harness.agent())
