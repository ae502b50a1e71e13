"""OpenTelemetry metrics of one instance, exposed in the Prometheus text format."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Histogram, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.view import View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from trefoilhook import __version__
from trefoilhook.metrics.instruments import Instrument, Kind

__all__ = ["MAX_SERIES", "Metrics", "ReadValues"]

#: Returns the current values of an instrument, keyed by its attribute values in order.
ReadValues = Callable[[], dict[tuple[str, ...], float]]

#: Maximum number of series of one instrument; further ones share an overflow series.
MAX_SERIES = 200

_CARDINALITY_VIEW = View(
    instrument_type=Histogram, aggregation_cardinality_limit=MAX_SERIES
)
_OVERFLOW_VALUE = "other"
_MS_PER_S = 1000.0

_DURATION_BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class Metrics:
    """Instruments of one instance.

    Parameters
    ----------
    instance_id, failure_domain, region : str
        Identity of the instance; exposed as resource attributes, not on each series.

    Notes
    -----
    Counters are kept in dictionaries and read when the metrics are collected: one
    dictionary update per request is about twenty times cheaper than a synchronous
    counter of the library. The number of series of an instrument is bounded, as an id
    that is used as an attribute by mistake would otherwise exhaust the memory.
    """

    def __init__(self, *, instance_id: str, failure_domain: str, region: str) -> None:
        self._registry = CollectorRegistry()
        self._reader = PrometheusMetricReader(
            registry=self._registry, scope_info_enabled=False
        )
        resource = Resource(
            {
                "service.name": "trefoilhook",
                "service.version": __version__,
                "service.instance.id": instance_id,
                "cloud.availability_zone": failure_domain,
                "cloud.region": region,
            }
        )
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            resource=resource,
            views=[_CARDINALITY_VIEW],
            exemplar_filter=AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("trefoilhook", __version__)
        self._totals: dict[Instrument, dict[tuple[str, ...], float]] = {}
        self._histograms: dict[Instrument, Histogram] = {}
        self._counter_sources: dict[Instrument, ReadValues] = {}
        self._build_instruments()

    def add(self, instrument: Instrument, amount: int = 1, *values: str) -> None:
        """Add to a counter.

        Parameters
        ----------
        instrument : Instrument
            The counter.
        amount : int, optional
            The increment.
        *values : str
            Values of the instrument's attributes, in their order.
        """
        totals = self._totals[instrument]
        if values not in totals:
            values = _bound_series(instrument, values, len(totals))
        totals[values] = totals.get(values, 0) + amount

    def record(self, instrument: Instrument, duration_ms: float, *values: str) -> None:
        """Record a duration in a histogram.

        Parameters
        ----------
        instrument : Instrument
            The histogram.
        duration_ms : float
            The duration, in ms.
        *values : str
            Values of the instrument's attributes, in their order.
        """
        attributes = _build_attributes(instrument, values)
        self._histograms[instrument].record(duration_ms / _MS_PER_S, attributes)

    def register_gauge(self, instrument: Instrument, read: ReadValues) -> None:
        """Register the callback of a gauge, at most once for each gauge."""
        spec = instrument.value
        self._meter.create_observable_gauge(
            spec.name,
            callbacks=[_build_callback(instrument, read)],
            unit=spec.unit,
            description=spec.description,
        )

    def register_counter_source(self, instrument: Instrument, read: ReadValues) -> None:
        """Read the totals of a counter from ``read`` instead of those kept by `add`."""
        self._counter_sources[instrument] = read

    def observe_http(self, route: str, status: int, duration_ms: float) -> None:
        """Record an HTTP response; usable as the admin handler's ``observe``."""
        self.record(Instrument.HTTP_DURATION, duration_ms, route, str(status))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()

    def _build_instruments(self) -> None:
        for instrument in Instrument:
            spec = instrument.value
            if spec.kind is Kind.COUNTER:
                self._totals[instrument] = {}
                self._meter.create_observable_counter(
                    spec.name,
                    callbacks=[
                        _build_callback(
                            instrument, self._build_counter_reader(instrument)
                        )
                    ],
                    unit=spec.unit,
                    description=spec.description,
                )
            if spec.kind is Kind.HISTOGRAM:
                self._histograms[instrument] = self._meter.create_histogram(
                    spec.name,
                    unit=spec.unit,
                    description=spec.description,
                    explicit_bucket_boundaries_advisory=_DURATION_BOUNDS_S,
                )

    def _build_counter_reader(self, instrument: Instrument) -> ReadValues:
        def read() -> dict[tuple[str, ...], float]:
            source = self._counter_sources.get(instrument)
            return dict(self._totals[instrument]) if source is None else source()

        return read


def _build_callback(
    instrument: Instrument, read: ReadValues
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(_: CallbackOptions) -> Iterable[Observation]:
        for values, value in read().items():
            yield Observation(value, _build_attributes(instrument, values))

    return observe


def _bound_series(
    instrument: Instrument, values: tuple[str, ...], series: int
) -> tuple[str, ...]:
    """Return new attribute values, or the overflow values if there are too many."""
    wanted = len(instrument.value.attributes)
    if len(values) != wanted:
        raise ValueError(
            f"{instrument.value.name} has {wanted} attributes, got {len(values)} values"
        )
    return values if series < MAX_SERIES else (_OVERFLOW_VALUE,) * wanted


def _build_attributes(
    instrument: Instrument, values: tuple[str, ...]
) -> dict[str, str]:
    return dict(zip(instrument.value.attributes, values, strict=True))
