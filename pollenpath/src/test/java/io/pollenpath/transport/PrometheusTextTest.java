package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.opentelemetry.api.trace.Span;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.protocol.ObjectApiException;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PrometheusTextTest {

    private final MetricRegistry metrics = new MetricRegistry();

    private List<String> lines() {
        return PrometheusText.format(metrics).lines().toList();
    }

    @Test
    void eachFamilyHasHelpAndTypeOnce() {
        MetricNames.count(metrics, "requests_total", "outcome", "finished");
        MetricNames.count(metrics, "requests_total", "outcome", "a\"b\\c\nd");
        MetricNames.count(metrics, "requests_total", "outcome", null);
        metrics.register("open_requests", (Gauge<Integer>) () -> 3);
        metrics.register("accepting", (Gauge<Boolean>) () -> true);
        metrics.timer("run_seconds").update(2, TimeUnit.SECONDS);
        assertThat(lines())
                .containsExactly(
                        "# HELP pollenpath_accepting 1 while new work is taken, 0 while draining.",
                        "# TYPE pollenpath_accepting gauge",
                        "pollenpath_accepting 1",
                        "# HELP pollenpath_open_requests Requests of callers that are being served.",
                        "# TYPE pollenpath_open_requests gauge",
                        "pollenpath_open_requests 3",
                        "# HELP pollenpath_requests_total Requests of callers that ended, by"
                                + " outcome.",
                        "# TYPE pollenpath_requests_total counter",
                        "pollenpath_requests_total{outcome=\"a\\\"b\\\\c\\nd\"} 1",
                        "pollenpath_requests_total{outcome=\"finished\"} 1",
                        "pollenpath_requests_total{outcome=\"none\"} 1",
                        "# HELP pollenpath_run_seconds Time of a run on the backend server.",
                        "# TYPE pollenpath_run_seconds summary",
                        "pollenpath_run_seconds{quantile=\"0.5\"} 2.0",
                        "pollenpath_run_seconds{quantile=\"0.95\"} 2.0",
                        "pollenpath_run_seconds{quantile=\"0.99\"} 2.0",
                        "pollenpath_run_seconds_count 1")
                .inOrder();
    }

    @Test
    void spansAreCountedEvenIfTheCallerDoesNotSample() {
        try (Traces traces = new Traces("p", "", metrics)) {
            for (String flags : List.of("00", "01")) {
                String parent = "00-" + "1".repeat(32) + "-" + "2".repeat(16) + "-" + flags;
                Span span = traces.start("entry.request", parent);
                assertThat(Traces.traceparent(span)).endsWith(flags);
                span.setAttribute("outcome", "finished");
                span.end();
            }
        }
        assertThat(lines()).contains("pollenpath_requests_total{outcome=\"finished\"} 2");
        assertThat(lines()).contains("pollenpath_request_seconds_count 2");
    }

    @Test
    void callsAndFailuresOfTheObjectApiAreCounted() {
        ObjectApi failing =
                (ObjectApi)
                        Proxy.newProxyInstance(
                                ObjectApi.class.getClassLoader(),
                                new Class<?>[] {ObjectApi.class},
                                (proxy, method, arguments) ->
                                        CompletableFuture.<ApiObject>failedFuture(
                                                new ObjectApiException(
                                                        ObjectApiException.Kind.CONFLICT, "no")));
        MeteredObjectApi api = new MeteredObjectApi(failing, metrics);
        assertThat(api.get("Contract", "a").isCompletedExceptionally()).isTrue();
        assertThat(lines()).contains("pollenpath_object_api_calls_total{call=\"get\"} 1");
        assertThat(lines()).contains("pollenpath_object_api_failures_total{kind=\"conflict\"} 1");
    }

    @Test
    void processMetricsAreNumbers() {
        ProcessMetrics.register(metrics);
        assertThat(metrics.getGauges()).hasSize(10);
        metrics.getGauges()
                .forEach((name, gauge) -> assertThat(gauge.getValue()).isInstanceOf(Number.class));
    }
}
