"""One exchange with a caller, from the head of its request to the end."""

import asyncio
import json

from tornado import httputil
from tornado import iostream

from skylarklug import effects
from skylarklug import events
from skylarklugd import attempt as attempt_lib
from skylarklugd import body as body_lib
from skylarklugd import heads

LINGER_BYTES = 1_048_576
LINGER_MS = 1_000


class CallerExchange(httputil.HTTPMessageDelegate):
    """Reads one request and writes its response.

    `server` is the `CallerServer` that accepted the connection.
    """

    def __init__(self, server, conn, on_head, mark_closing):
        self.req_id = ""
        self.head = None
        self.arrived_at = 0
        self.attempts = {}
        self.closed = False
        self.body = body_lib.RequestBody(server.cfg["prefetch"])
        self._server = server
        self._conn = conn
        self._on_head = on_head
        self._mark_closing = mark_closing
        self._method = ""
        self._arrived = False
        self._answered = False
        self._dropping = False
        self._head_written = False
        self._read_all = False
        self._lingering = False
        self._discarded = 0
        self._last_write = None
        self._task = None
        self._timer = None

    # Called by tornado while the request is read.

    def headers_received(self, start_line, headers):
        """Validates the head and answers what needs no upstream."""
        self._on_head()
        self._method = start_line.method
        cfg = self._server.cfg
        if start_line.path in ("/ready", "/live"):
            self._answer_probe(start_line)
            return None
        try:
            self.head = heads.check(
                start_line,
                headers,
                self._conn.context.remote_ip,
                header_limit=cfg["header_limit"],
                body_limit=cfg["body_limit"],
            )
        except heads.BadRequest as exc:
            self.refuse(exc.status, exc.reason, step=exc.step)
            if exc.status == 400 or "Expect" in headers:
                return self._close_unread()
            return None
        self.arrived_at = self._server.clock()
        self._server.register(self)
        self._await_caller()
        return None

    def data_received(self, chunk):
        """Takes a part of the body, or drops it after an early answer."""
        self._stop_timer()
        if self._dropping or self.closed or self.head is None:
            return self._drop(len(chunk))
        if self.body.size + len(chunk) > self._server.cfg["body_limit"]:
            return self._body_too_large()
        fut = self.body.put(chunk)
        if self.body.large and not self._arrived:
            self._check_large()
        if fut is None:
            self._await_caller()
            return None
        fut.add_done_callback(lambda _: self._await_caller())
        return fut

    def finish(self):
        """The whole request has been read."""
        self._read_all = True
        self._stop_timer()
        if self._lingering:
            self._end_linger()
            return
        if self.head is None or self.closed:
            return
        self._conn.set_close_callback(self.on_connection_close)
        self.body.end()
        self._arrive()

    def on_connection_close(self):
        """The caller's connection has closed before the exchange ended."""
        self._stop_timer()
        self.body.fail("the caller closed the connection")
        if self._task is not None:
            self._task.cancel()
        # A lingering exchange has written its whole answer.
        self._close(self._lingering)

    # Reading.

    def _arrive(self):
        if self._arrived or self._dropping:
            return
        self._arrived = True
        head = self.head
        self._server.dispatch(
            events.RequestArrived(
                self._server.clock(),
                self.req_id,
                head.service,
                head.method,
                head.target,
                head.idempotent,
                head.caller,
                head.deadline_ms,
                head.hops,
            )
        )

    def _check_large(self):
        head = self.head
        if head.length is None and head.method not in heads.CHUNKED_METHODS:
            self.refuse(413, f"a large chunked body of {head.method}")
            return
        self._arrive()

    def _body_too_large(self):
        limit = self._server.cfg["body_limit"]
        reason = f"the body is larger than {limit} bytes"
        if not self._arrived:
            self.refuse(413, reason)
            return None
        # Part of the body may be at an upstream, so this is not "not run".
        self.body.fail(reason)
        self._break_off()
        return None

    def _await_caller(self):
        if self._read_all or self._dropping or self.closed:
            return
        delay = self._server.cfg["progress_timeout_ms"] / 1000
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(
            delay, self._caller_idle
        )

    def _caller_idle(self):
        reason = "the caller sent nothing for too long"
        if not self._arrived:
            self.refuse(400, reason, step="read request body")
            return
        self.body.fail(reason)
        self._break_off()

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # Answering.

    def refuse(self, status, reason, *, step="check request"):
        """Answers an error before any attempt was made."""
        self._server.log_refusal(self._conn, status, step, reason)
        self.answer_error(
            effects.AnswerError(
                self.req_id, status, "not run", step, "", reason, 0
            )
        )

    def answer_error(self, effect: effects.AnswerError):
        """Answers with an error, or breaks off a response already begun."""
        if self.closed:
            return
        if self._head_written:
            self._break_off()
            return
        if self._task is not None:
            self._task.cancel()
        document = {
            "outcome": effect.outcome,
            "step": effect.step,
            "peer": effect.peer,
            "reason": effect.reason,
            "request_id": self.req_id,
        }
        headers = httputil.HTTPHeaders()
        headers[heads.OUTCOME] = effect.outcome.replace(" ", "-")
        if effect.retry_after_s:
            headers["Retry-After"] = str(effect.retry_after_s)
        self._answer_json(effect.status, document, headers)

    def relay(self, attempt: attempt_lib.Attempt):
        """Starts passing the response of an attempt on."""
        if self._answered or self.closed:
            return
        self._answered = True
        self._task = asyncio.ensure_future(self._relay(attempt))

    def _answer_probe(self, start_line):
        ready, reason = self._server.readiness
        if start_line.path == "/live":
            ready, reason = True, ""
        document = {"ready": ready, "reason": reason}
        self._answer_json(
            200 if ready else 503, document, httputil.HTTPHeaders()
        )

    def _answer_json(self, status, document, headers):
        self._answered = True
        self._dropping = True
        content = json.dumps(document).encode() + b"\n"
        headers["Content-Type"] = "application/json"
        headers["Content-Length"] = str(len(content))
        if self.req_id:
            headers[heads.REQUEST_ID] = self.req_id
        self._task = asyncio.ensure_future(
            self._write_error(status, headers, content)
        )

    async def _write_error(self, status, headers, content):
        chunk = None if self._method == "HEAD" else content
        try:
            self._write_head(status, "", headers, chunk)
            await self._flushed(self._last_write)
        except iostream.StreamClosedError:
            self._break_off()
            return
        self._end()

    async def _close_unread(self):
        """Answers a request whose body cannot be read, and closes."""
        task, self._task = self._task, None
        await asyncio.wait([task])
        self._end_linger()

    def _linger(self):
        # Closing with unread bytes resets the connection, which may destroy
        # the answer on its way; so a bounded rest of the body is read first.
        self._lingering = True
        self._dropping = True
        self.body.resume()
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(
            LINGER_MS / 1000, self._end_linger
        )

    def _drop(self, count):
        self._discarded += count
        if self._lingering and self._discarded > LINGER_BYTES:
            self._end_linger()

    def _end_linger(self):
        self._stop_timer()
        if not self._lingering:
            return
        self._lingering = False
        if not self._conn.stream.closed():
            self._conn.finish()
        self._close(True)

    def _write_head(self, status, reason, headers, chunk):
        if self._server.draining or not self._read_all:
            headers["Connection"] = "close"
            self._mark_closing()
        self._head_written = True
        start = httputil.ResponseStartLine(
            "HTTP/1.1",
            status,
            reason or httputil.responses.get(status, "Unknown"),
        )
        self._last_write = self._conn.write_headers(start, headers, chunk)

    async def _relay(self, attempt):
        try:
            await self._relay_response(attempt)
        except attempt_lib.ResponseIncomplete:
            if self._head_written:
                self._break_off()
                return
            self.answer_error(
                effects.AnswerError(
                    self.req_id,
                    502,
                    "unknown",
                    "relay",
                    "",
                    "the upstream's response broke off",
                    0,
                )
            )
        except iostream.StreamClosedError:
            self._break_off()
        except Exception:
            self._break_off()
            raise

    async def _relay_response(self, attempt):
        if attempt.failed:
            raise attempt_lib.ResponseIncomplete
        headers = heads.to_caller(
            attempt.headers, self.req_id, attempt.forwarded
        )
        bodiless = self._method == "HEAD" or attempt.status in (204, 304)
        if attempt.status == 204:
            headers.pop("Content-Length", None)
        chunk = None
        if attempt.done and not bodiless:
            chunk = attempt.take_all()
            headers["Content-Length"] = str(len(chunk))
        self._write_head(attempt.status, attempt.reason, headers, chunk)
        await self._flushed(self._last_write)
        while chunk := await attempt.next_chunk():
            await self._flushed(self._conn.write(chunk))
        self._end()

    async def _flushed(self, fut):
        """Waits for a write, for as long as the caller reads at all."""
        delay = self._server.cfg["progress_timeout_ms"] / 1000
        timer = asyncio.get_running_loop().call_later(delay, self._break_off)
        try:
            await fut
        finally:
            timer.cancel()

    def _end(self):
        if self._conn.stream.closed():
            self._close(False)
            return
        if not self._read_all:
            self._linger()
            return
        self._conn.finish()
        self._close(True)

    def _break_off(self):
        """Closes the connection without the end of the body."""
        self._stop_timer()
        self._conn.close()
        task, self._task = self._task, None
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        self._close(False)

    def _close(self, complete):
        if self.closed:
            return
        self.closed = True
        self._answered = True
        self._stop_timer()
        self.body.fail("the exchange with the caller has ended")
        for attempt in self.attempts.values():
            attempt.discard()
        if self.head is None:
            return
        self._server.unregister(self)
        if self._arrived:
            self._server.dispatch(
                events.RequestClosed(
                    self._server.clock(), self.req_id, complete
                )
            )
