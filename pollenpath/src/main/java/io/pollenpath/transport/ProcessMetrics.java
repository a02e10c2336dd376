package io.pollenpath.transport;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Metrics of the CPU time, memory, threads and garbage collection of a process. */
public final class ProcessMetrics {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double MS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);
    private static final Path STATUS = Path.of("/proc/self/status");
    private static final String RESIDENT = "VmRSS:";
    private static final long BYTES_PER_KIB = 1_024;

    private ProcessMetrics() {}

    /**
     * Registers the metrics of this process.
     *
     * @param metrics the registry for the metrics, not null
     */
    public static void register(MetricRegistry metrics) {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        gauge(metrics, "process_cpu_seconds_total", ProcessMetrics::cpuSeconds);
        gauge(metrics, "process_heap_bytes", () -> memory.getHeapMemoryUsage().getUsed());
        gauge(metrics, "process_heap_max_bytes", () -> memory.getHeapMemoryUsage().getMax());
        gauge(metrics, "process_non_heap_bytes", () -> memory.getNonHeapMemoryUsage().getUsed());
        gauge(metrics, "process_direct_bytes", ProcessMetrics::directBytes);
        gauge(metrics, "process_resident_bytes", ProcessMetrics::residentBytes);
        gauge(
                metrics,
                "process_threads",
                () -> ManagementFactory.getThreadMXBean().getThreadCount());
        gauge(metrics, "process_open_descriptors", ProcessMetrics::openDescriptors);
        gauge(metrics, "process_gc_seconds_total", ProcessMetrics::gcSeconds);
        gauge(
                metrics,
                "process_uptime_seconds",
                () -> ManagementFactory.getRuntimeMXBean().getUptime() / MS_PER_SECOND);
    }

    private static void gauge(MetricRegistry metrics, String name, Gauge<Number> gauge) {
        metrics.register(name, gauge);
    }

    private static double cpuSeconds() {
        return ManagementFactory.getOperatingSystemMXBean()
                        instanceof com.sun.management.OperatingSystemMXBean system
                ? system.getProcessCpuTime() / NANOS_PER_SECOND
                : 0;
    }

    private static long openDescriptors() {
        return ManagementFactory.getOperatingSystemMXBean()
                        instanceof com.sun.management.UnixOperatingSystemMXBean system
                ? system.getOpenFileDescriptorCount()
                : 0;
    }

    private static long directBytes() {
        return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .mapToLong(BufferPoolMXBean::getMemoryUsed)
                .sum();
    }

    private static double gcSeconds() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                        .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                        .sum()
                / MS_PER_SECOND;
    }

    private static long residentBytes() {
        try {
            for (String line : Files.readAllLines(STATUS)) {
                if (line.startsWith(RESIDENT)) {
                    String digits = line.replaceAll("[^0-9]", "");
                    return Long.parseLong(digits) * BYTES_PER_KIB;
                }
            }
        } catch (IOException e) {
            // Only Linux has this file; other systems report a resident size of 0.
        }
        return 0;
    }
}
