"""Tests of the metrics of an instance."""

from citronshelf_instance import metrics


def lines_of(instance_metrics):
    body, _ = instance_metrics.render()
    return body.decode().splitlines()


class TestMetrics:
    """Contents of the metrics page."""

    def test_requests_are_counted_by_status_and_duration(self):
        instance_metrics = metrics.InstanceMetrics()
        instance_metrics.record_request('look', 200, 0.03)
        instance_metrics.record_request('look', 504, 3.0)
        instance_metrics.record_request('issue', 200, 0.03)
        lines = lines_of(instance_metrics)
        assert 'citronshelf_requests_total{kind="200"} 2' in lines
        assert 'citronshelf_requests_total{kind="504"} 1' in lines
        name = 'citronshelf_request_seconds'
        assert f'{name}_bucket{{le="0.05",route="look"}} 1.0' in lines
        assert f'{name}_bucket{{le="4.0",route="look"}} 2.0' in lines
        assert f'{name}_count{{route="look"}} 2.0' in lines
        assert f'{name}_sum{{route="look"}} 3.03' in lines
        assert f'{name}_count{{route="issue"}} 1.0' in lines

    def test_gauges_are_read_with_the_page(self):
        instance_metrics = metrics.InstanceMetrics()
        values = iter([3, 4])
        instance_metrics.add_gauge(
            'servers', 'Registered servers', lambda: next(values)
        )
        assert 'citronshelf_servers 3' in lines_of(instance_metrics)
        assert 'citronshelf_servers 4' in lines_of(instance_metrics)

    def test_counter_without_a_label_is_rendered(self):
        instance_metrics = metrics.InstanceMetrics()
        instance_metrics.count('hedges')
        instance_metrics.count('hedges')
        assert 'citronshelf_hedges_total 2' in lines_of(instance_metrics)

    def test_refusals_are_counted_by_status_and_reason(self):
        instance_metrics = metrics.InstanceMetrics()
        for _ in range(2):
            instance_metrics.record_refusal(404, 'no such route')
        line = (
            'citronshelf_refusals_total{reason="no such route",status="404"}'
        )
        assert f'{line} 2' in lines_of(instance_metrics)
