"""Tests of the client over sockets on loopback."""

import pytest
from tests.operator import support

from skylarklug import exceptions
from skylarklug_operator import client

DONE = (200, {"status": "done", "rows": []})


def message(command="tasks", key=""):
    return {
        "command": command,
        "key": key,
        "if_version": 0,
        "dry_run": False,
        "body": {},
    }


class TestRun:
    def test_request_and_answer(self):
        """Guards against a request that differs from what a node expects."""
        with support.serve(DONE) as node:
            answer = client.run([node.address], "secret", message())
        assert answer == client.Answer("done", {"rows": []})
        assert node.received == [
            {
                **message(),
                "token": "Bearer secret",
                "path": "/operator/command",
            }
        ]

    @pytest.mark.parametrize("command", ["tasks", "drain w-1"])
    def test_next_node_after_a_refused_connection(self, command):
        """Guards against one unreachable node that makes commands fail."""
        with (
            support.refusing_address() as unreachable,
            support.serve(DONE) as node,
        ):
            answer = client.run(
                [unreachable, node.address], "", message(command)
            )
        assert answer.status == "done"
        assert len(node.received) == 1

    @pytest.mark.parametrize(
        ("command", "key"), [("tasks", ""), ("drain w-1", "k")]
    )
    def test_next_node_after_a_lost_answer(self, command, key):
        """Guards against failing without a retry that would be safe."""
        with support.serve(None) as lost, support.serve(DONE) as node:
            answer = client.run(
                [lost.address, node.address], "", message(command, key)
            )
        assert answer.status == "done"
        assert [m["key"] for m in node.received] == [key]

    def test_no_repeat_of_a_change_without_a_key(self):
        """Guards against a change that takes effect twice."""
        with support.serve(None) as lost, support.serve(DONE) as node:
            addresses = [lost.address, node.address]
            with pytest.raises(exceptions.Unavailable) as caught:
                client.run(addresses, "", message("drain w-1"))
        assert len(lost.received) == 1
        assert node.received == []
        assert lost.address in caught.value.reason

    def test_no_node_reachable(self):
        """Guards against an error that does not name the nodes tried."""
        with (
            support.refusing_address() as one,
            support.refusing_address() as two,
        ):
            nodes = [one, two]
            with pytest.raises(exceptions.Unavailable) as caught:
                client.run(nodes, "", message())
        assert caught.value.peer == f"{one},{two}"
        assert caught.value.step == "send command"
        assert one in caught.value.reason and two in caught.value.reason

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"<html>",
            b"[1]",
            b'"done"',
            b"{}",
            b"\xff",
            b"null",
            b'{"status": [1]}',
        ],
        ids=repr,
    )
    def test_malformed_answer(self, body):
        """Guards against an exception of the decoder instead of a
        `ProtocolError`."""
        with support.serve((200, body)) as node:
            addresses = [node.address]
            with pytest.raises(exceptions.ProtocolError) as caught:
                client.run(addresses, "", message())
        assert caught.value.peer == node.address

    def test_unknown_token(self):
        """Guards against a refusal that is reported as a malformed answer."""
        body = {"status": "not-allowed", "message": "unknown token"}
        with support.serve((401, body)) as node:
            answer = client.run([node.address], "wrong", message())
        assert answer == client.Answer(
            "not-allowed", {"message": "unknown token"}
        )
