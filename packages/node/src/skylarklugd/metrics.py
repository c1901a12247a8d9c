"""OpenTelemetry metrics of a node, also served without a collector."""

import json

from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import export
import prometheus_client
from tornado import httpserver
from tornado import httputil

from skylarklugd import streams

# Interval of the OTLP export unless the settings give another.
DEFAULT_EXPORT_INTERVAL_MS = 10_000

# Instrument type and unit by metric name; others are counters of unit "1".
INSTRUMENTS = {
    "skylarklug.request.duration": ("histogram", "s"),
    "skylarklug.reducer.duration": ("histogram", "s"),
    "skylarklug.queue.length": ("gauge", "{request}"),
    "skylarklug.slots.in_use": ("gauge", "{slot}"),
    "skylarklug.config.version": ("gauge", "1"),
    "skylarklug.control.bytes": ("counter", "By"),
    "skylarklug.store.duration": ("histogram", "s"),
    "skylarklug.configuration.age": ("histogram", "s"),
    "skylarklug.answer.duration": ("histogram", "s"),
    "skylarklug.start.wait": ("histogram", "s"),
    "skylarklug.start.idle": ("histogram", "s"),
    "skylarklug.tasks.longest_idle": ("gauge", "s"),
    "skylarklug.tasks.held": ("gauge", "{task}"),
    "skylarklug.tick.delay": ("histogram", "s"),
    "skylarklug.tasks.waiting": ("gauge", "{task}"),
}
# Upper bounds of the histogram buckets for durations, in seconds.
DURATION_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0)


class Metrics:
    """Records measurements and renders them as text or as JSON.

    Each reader takes part in each measurement, so there is only one of them.

    Args:
        cfg: The settings of metrics; with `text`, `render_text` returns the
            metrics, otherwise `render` does.
        node: Name of the node.
    """

    def __init__(self, cfg, node: str):
        self._reader = None
        if cfg.get("text"):
            readers = [prometheus.PrometheusMetricReader()]
        else:
            self._reader = export.InMemoryMetricReader()
            readers = [self._reader]
        if cfg.get("otlp_endpoint"):
            # Imported on demand: it takes as long as all other imports.
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
            recorder = self._recorders[name] = self._create_instrument(name)
        recorder(value, attributes)

    def _create_instrument(self, name):
        instrument_type, unit = INSTRUMENTS.get(name, ("counter", "1"))
        if instrument_type == "histogram":
            return self._meter.create_histogram(
                name,
                unit=unit,
                explicit_bucket_boundaries_advisory=DURATION_BUCKETS_S,
            ).record
        if instrument_type == "gauge":
            return self._meter.create_gauge(name, unit=unit).set
        return self._meter.create_counter(name, unit=unit).add

    def render(self) -> str:
        """Returns all metrics in the OpenTelemetry JSON format."""
        data = None
        if self._reader is not None:
            data = self._reader.get_metrics_data()
        if data is None:
            return json.dumps({"resource_metrics": []})
        return data.to_json()

    def render_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()

    def close(self) -> None:
        """Exports pending measurements and stops the exporters."""
        self._provider.shutdown()


def serve_text(address: str, render_body) -> httpserver.HTTPServer:
    """Serves metrics as text on every path of an address.

    Args:
        address: "host:port" to listen on.
        render_body: Returns the response body.

    Raises:
        OSError: The address is already in use.
    """

    def handle_request(req):
        body = render_body()
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": prometheus_client.CONTENT_TYPE_LATEST,
                "Content-Length": str(len(body)),
            }
        )
        start_line = httputil.ResponseStartLine("HTTP/1.1", 200, "OK")
        req.connection.write_headers(start_line, headers, body)
        req.connection.finish()

    host, port = streams.split_address(address)
    server = httpserver.HTTPServer(handle_request)
    server.listen(port, host)
    return server
