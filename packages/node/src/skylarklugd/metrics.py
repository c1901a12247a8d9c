"""OpenTelemetry metrics of a node, readable without a collector."""

import json

from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import export
import prometheus_client
from tornado import httpserver
from tornado import httputil

from skylarklugd import streams

DEFAULT_EXPORT_INTERVAL_MS = 10_000

# Metrics that are not counters: name to (kind, unit).
INSTRUMENTS = {
    "skylarklug.request.duration": ("histogram", "s"),
    "skylarklug.reducer.duration": ("histogram", "s"),
    "skylarklug.queue.length": ("gauge", "{request}"),
    "skylarklug.slots.in_use": ("gauge", "{slot}"),
    "skylarklug.config.version": ("gauge", "1"),
    "skylarklug.control.bytes": ("counter", "By"),
    "skylarklug.store.duration": ("histogram", "s"),
    "skylarklug.answer.duration": ("histogram", "s"),
    "skylarklug.start.wait": ("histogram", "s"),
    "skylarklug.tick.delay": ("histogram", "s"),
    "skylarklug.tasks.waiting": ("gauge", "{task}"),
}
# Upper bounds of the buckets of durations, in seconds.
DURATION_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0)


class Metrics:
    """Records measurements and renders them as JSON."""

    def __init__(self, cfg, node: str):
        self._reader = export.InMemoryMetricReader()
        readers = [self._reader]
        if cfg.get("text"):
            readers.append(prometheus.PrometheusMetricReader())
        if cfg.get("otlp_endpoint"):
            # Loaded only where it is used: it takes as long as all the rest.
            from opentelemetry.exporter.otlp.proto.http import metric_exporter

            exporter = metric_exporter.OTLPMetricExporter(
                endpoint=cfg["otlp_endpoint"]
            )
            interval = cfg.get("interval_ms", DEFAULT_EXPORT_INTERVAL_MS)
            readers.append(
                export.PeriodicExportingMetricReader(
                    exporter, export_interval_millis=interval
                )
            )
        self._provider = sdk_metrics.MeterProvider(
            metric_readers=readers,
            resource=resources.Resource.create(
                {"service.name": "skylarklug", "service.instance.id": node}
            ),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("skylarklug")
        self._recorders = {}

    def record(self, name: str, value: float, attributes) -> None:
        """Adds a value to a counter or records it in a histogram or gauge."""
        recorder = self._recorders.get(name)
        if recorder is None:
            recorder = self._recorders[name] = self._create(name)
        recorder(value, attributes)

    def _create(self, name):
        kind, unit = INSTRUMENTS.get(name, ("counter", "1"))
        if kind == "histogram":
            return self._meter.create_histogram(
                name,
                unit=unit,
                explicit_bucket_boundaries_advisory=DURATION_BUCKETS_S,
            ).record
        if kind == "gauge":
            return self._meter.create_gauge(name, unit=unit).set
        return self._meter.create_counter(name, unit=unit).add

    def render(self) -> str:
        """Returns all metrics in the OpenTelemetry JSON form."""
        data = self._reader.get_metrics_data()
        if data is None:
            return json.dumps({"resource_metrics": []})
        return data.to_json()

    def render_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()

    def close(self) -> None:
        """Exports what is pending and stops the exporter."""
        self._provider.shutdown()


def serve_text(address: str, render) -> httpserver.HTTPServer:
    """Serves metrics as text to any GET at an address.

    Args:
        address: "host:port" to listen at.
        render: Returns the body.

    Raises:
        OSError: The address is taken.
    """

    def respond(req):
        body = render()
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": prometheus_client.CONTENT_TYPE_LATEST,
                "Content-Length": str(len(body)),
            }
        )
        start = httputil.ResponseStartLine("HTTP/1.1", 200, "OK")
        req.connection.write_headers(start, headers, body)
        req.connection.finish()

    host, port = streams.split_address(address)
    server = httpserver.HTTPServer(respond)
    server.listen(port, host)
    return server
