"""The metrics page is read as Prometheus reads it."""

from __future__ import annotations

from prometheus_client.parser import text_string_to_metric_families

from monsoontray.metrics.service import Metrics


def read_samples(metrics):
    families = text_string_to_metric_families(metrics.render().decode())
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in families
        for sample in family.samples
    }


def test_counters_with_and_without_labels_are_read_back():
    metrics = Metrics(None)
    metrics.count_refusal("no-slot", "not-run")
    metrics.count_refusal("no-slot", "not-run")
    metrics.count_cancelled_call()
    metrics.responses = 7
    metrics.set_version(12)

    samples = read_samples(metrics)

    labels = (("ran", "not-run"), ("reason", "no-slot"))
    assert samples["monsoontray_refusals_total", labels] == 2
    assert samples["monsoontray_cancelled_calls_total", ()] == 1
    assert samples["monsoontray_responses_total", ()] == 7
    assert samples["monsoontray_version", ()] == 12


def test_buckets_are_cumulative_and_end_with_all_values():
    metrics = Metrics(None)
    for seconds in (0.0005, 0.001, 0.0015, 100.0):
        metrics.observe_call("entry", seconds)

    samples = read_samples(metrics)

    name, side = "monsoontray_call_seconds", ("side", "entry")
    assert samples[f"{name}_bucket", (("le", "0.001"), side)] == 2
    assert samples[f"{name}_bucket", (("le", "0.002"), side)] == 3
    assert samples[f"{name}_bucket", (("le", "+Inf"), side)] == 4
    assert samples[f"{name}_count", (side,)] == 4
    assert abs(samples[f"{name}_sum", (side,)] - 100.003) < 1e-9


def test_label_values_are_escaped():
    metrics = Metrics(None)
    metrics.count_refused_entry('odd "kind"\\\n')

    labels = (("kind", 'odd "kind"\\\n'),)
    assert read_samples(metrics)["monsoontray_entries_refused_total", labels] == 1


def test_calls_to_the_store_are_counted_by_kind_and_reason():
    metrics = Metrics(None)
    for kind in ("grant", "write", "renewal", "renewal"):
        metrics.count_store_call("record", kind)
    labels = (("kind", "renewal"), ("reason", "record"))
    assert read_samples(metrics)["monsoontray_store_calls_total", labels] == 2
    assert metrics.get_store_calls()["record renewal"] == 2
