package io.pollenpath.bench;

import com.beust.jcommander.JCommander;
import io.pollenpath.bench.measure.MeasurementReport;
import io.pollenpath.bench.measure.Measurements;
import io.pollenpath.bench.prove.FaultCase;
import io.pollenpath.bench.prove.FaultCaseRunner;
import io.pollenpath.bench.prove.FaultCases;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** Entry point of the bench: runs the program that the first argument names. */
public final class BenchMain {

    private static final String LOG_CONFIGURATION = "logback.configurationFile";
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    /**
     * Runs a program and exits the JVM with its exit code.
     *
     * @param arguments the name of the program, followed by its flags
     * @throws Exception if the program fails
     */
    public static void main(String[] arguments) throws Exception {
        if (System.getProperty(LOG_CONFIGURATION) == null) {
            System.setProperty(LOG_CONFIGURATION, "bench-logback.xml");
        }
        String program = arguments.length == 0 ? "" : arguments[0];
        BenchOptions options = new BenchOptions();
        if (arguments.length > 1) {
            String[] flags = Arrays.copyOfRange(arguments, 1, arguments.length);
            JCommander.newBuilder().addObject(options).build().parse(flags);
        }
        System.exit(run(program, options));
    }

    private static int run(String program, BenchOptions options) throws Exception {
        return switch (program) {
            case "quickstart" -> new Quickstart(System.out).run();
            case "prove" -> prove(options);
            case "measure" -> measure(options);
            case "archive" -> new ClassArchive(System.out, root()).run();
            default -> {
                System.err.println(
                        "error: first argument must be quickstart, prove, measure or archive");
                yield EXIT_USAGE;
            }
        };
    }

    private static Path root() {
        return Path.of(System.getProperty("pollenpath.root", "."));
    }

    private static int prove(BenchOptions options) throws Exception {
        List<FaultCase> cases = FaultCases.all();
        if (!options.names.isEmpty()) {
            cases.removeIf(c -> !options.names.contains(c.fault()));
        }
        return FaultCaseRunner.run(cases, options, System.out) == 0 ? 0 : 1;
    }

    private static int measure(BenchOptions options) throws Exception {
        String name = options.names.isEmpty() ? "" : options.names.get(0);
        MeasurementReport report = new MeasurementReport(name, options.seed(), System.out);
        try {
            Measurements.find(name).run(options, report);
        } catch (IllegalArgumentException e) {
            System.err.println("error: " + e.getMessage());
            return EXIT_USAGE;
        }
        return report.allMet() ? 0 : 1;
    }
}
