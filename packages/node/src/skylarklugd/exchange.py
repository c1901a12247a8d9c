"""One exchange with a caller: its request and the response to it."""

import asyncio
import json

from tornado import httputil
from tornado import iostream

from skylarklug import effects
from skylarklug import events
from skylarklugd import attempt as attempt_lib
from skylarklugd import body as body_lib
from skylarklugd import heads

# Limits of a lingering close, which reads and discards the rest of a request
# after the response: bytes of the body, and milliseconds.
LINGER_BYTES = 1_048_576
LINGER_MS = 1_000


class CallerExchange(httputil.HTTPMessageDelegate):
    """Reads one request and writes its response.

    Args:
        server: The `CallerServer` that accepted the connection.
        conn: Tornado's connection for this request.
        on_head: Called when a request head has arrived.
        mark_closing: Called when the connection will be closed after this
            response.
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
        self._answer_started = False
        self._discarding_body = False
        self._head_written = False
        self._request_complete = False
        self._lingering = False
        self._discarded_bytes = 0
        self._head_flush = None
        self._task = None
        self._timer = None

    # Methods that Tornado calls while it reads the request

    def headers_received(self, start_line, headers):
        """Validates the head; answers probes and invalid requests itself."""
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
        self._start_progress_timer()
        return None

    def data_received(self, chunk):
        """Buffers a part of the body, or discards it after a response."""
        self._stop_timer()
        if self._discarding_body or self.closed or self.head is None:
            return self._discard(len(chunk))
        if self.body.size + len(chunk) > self._server.cfg["body_limit"]:
            return self._reject_oversized_body()
        fut = self.body.put(chunk)
        if self.body.large and not self._arrived:
            self._begin_streaming()
        if fut is None:
            self._start_progress_timer()
            return None
        fut.add_done_callback(lambda _: self._start_progress_timer())
        return fut

    def finish(self):
        """Called when the whole request has been read."""
        self._request_complete = True
        self._stop_timer()
        if self._lingering:
            self._end_linger()
            return
        if self.head is None or self.closed:
            return
        self._conn.set_close_callback(self.on_connection_close)
        self.body.end()
        self._dispatch_arrival()

    def on_connection_close(self):
        """Called when the connection closes before the exchange has ended."""
        self._stop_timer()
        self.body.fail("the caller closed the connection")
        if self._task is not None:
            self._task.cancel()
        # During a lingering close the whole response has been written.
        self._close(self._lingering)

    # Reading the request

    def _dispatch_arrival(self):
        if self._arrived or self._discarding_body:
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

    def _begin_streaming(self):
        head = self.head
        if head.length is None and head.method not in heads.CHUNKED_METHODS:
            self.refuse(413, f"a large chunked body of {head.method}")
            return
        self._dispatch_arrival()

    def _reject_oversized_body(self):
        limit = self._server.cfg["body_limit"]
        reason = f"the body is larger than {limit} bytes"
        if not self._arrived:
            self.refuse(413, reason)
            return None
        # An upstream may have received part of the body, so the outcome cannot
        # be reported as "not run".
        self.body.fail(reason)
        self._abort()
        return None

    def _start_progress_timer(self):
        if self._request_complete or self._discarding_body or self.closed:
            return
        delay = self._server.cfg["progress_timeout_ms"] / 1000
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(
            delay, self._on_progress_timeout
        )

    def _on_progress_timeout(self):
        reason = "the caller sent nothing for too long"
        if not self._arrived:
            self.refuse(400, reason, step="read request body")
            return
        self.body.fail(reason)
        self._abort()

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # Writing the response

    def refuse(self, status, reason, *, step="check request"):
        """Answers with an error before any attempt has been made."""
        self._server.log_refusal(self._conn, status, step, reason)
        self.answer_error(
            effects.AnswerError(
                self.req_id, status, "not run", step, "", reason, 0
            )
        )

    def answer_error(self, effect: effects.AnswerError):
        """Answers with an error, or aborts a response that has begun."""
        if self.closed:
            return
        if self._head_written:
            self._abort()
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
        """Starts relaying the response of an attempt."""
        if self._answer_started or self.closed:
            return
        self._answer_started = True
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
        self._answer_started = True
        self._discarding_body = True
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
            await self._wait_flushed(self._head_flush)
        except iostream.StreamClosedError:
            self._abort()
            return
        self._finish_response()

    async def _close_unread(self):
        """Closes the connection after the response, without reading the body.

        After a 400 the framing of the body cannot be relied on, and a caller
        that expects a 100 Continue may not send the body at all.
        """
        task, self._task = self._task, None
        await asyncio.wait([task])
        self._end_linger()

    def _linger(self):
        # Closing a socket with unread bytes resets the connection, which may
        # discard the response in transit. A bounded part of the rest of the
        # body is therefore read first.
        self._lingering = True
        self._discarding_body = True
        self.body.resume()
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(
            LINGER_MS / 1000, self._end_linger
        )

    def _discard(self, count):
        self._discarded_bytes += count
        if self._lingering and self._discarded_bytes > LINGER_BYTES:
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
        if self._server.draining or not self._request_complete:
            headers["Connection"] = "close"
            self._mark_closing()
        self._head_written = True
        start = httputil.ResponseStartLine(
            "HTTP/1.1",
            status,
            reason or httputil.responses.get(status, "Unknown"),
        )
        self._head_flush = self._conn.write_headers(start, headers, chunk)

    async def _relay(self, attempt):
        try:
            await self._relay_response(attempt)
        except attempt_lib.ResponseIncomplete:
            if self._head_written:
                self._abort()
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
            self._abort()
        except Exception:
            self._abort()
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
        await self._wait_flushed(self._head_flush)
        while chunk := await attempt.next_chunk():
            await self._wait_flushed(self._conn.write(chunk))
        self._finish_response()

    async def _wait_flushed(self, fut):
        """Waits for a write; aborts if the caller reads too slowly."""
        delay = self._server.cfg["progress_timeout_ms"] / 1000
        timer = asyncio.get_running_loop().call_later(delay, self._abort)
        try:
            await fut
        finally:
            timer.cancel()

    def _finish_response(self):
        if self._conn.stream.closed():
            self._close(False)
            return
        if not self._request_complete:
            self._linger()
            return
        self._conn.finish()
        self._close(True)

    def _abort(self):
        """Closes the connection before the response is complete."""
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
        self._answer_started = True
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
