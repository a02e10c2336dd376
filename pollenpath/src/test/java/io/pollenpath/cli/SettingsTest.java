package io.pollenpath.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.beust.jcommander.Parameter;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SettingsTest {

    private static final List<String> VALID_SIDE =
            List.of("--name=a", "--object-api=127.0.0.1:1", "--backend=127.0.0.1:2");
    private static final List<String> VALID_ENTRY = List.of("--name=a", "--object-api=127.0.0.1:1");

    /** An invalid command line: flags that are added to valid ones, and the expected message. */
    private record InvalidCase(
            List<String> validFlags, String extraFlags, String expectedMessage) {}

    private static final List<InvalidCase> INVALID_CASES =
            List.of(
                    new InvalidCase(
                            VALID_ENTRY, "--port 65536", "--port is 65536; set it between 0 and"),
                    new InvalidCase(VALID_ENTRY, "--port -1", "--port is -1; set it between 0"),
                    new InvalidCase(VALID_ENTRY, "--port x", "--port is 'x'; set a whole number"),
                    new InvalidCase(
                            VALID_ENTRY, "--port 99999999999999999999", "set a whole number"),
                    new InvalidCase(VALID_ENTRY, "--port", "--port has no value"),
                    new InvalidCase(VALID_ENTRY, "--port --zone z", "--port has no value"),
                    new InvalidCase(VALID_ENTRY, "--port 1 --port 2", "--port is given twice"),
                    new InvalidCase(
                            VALID_ENTRY, "--prot 1", "'--prot' is unknown; did you mean '--port'?"),
                    new InvalidCase(VALID_ENTRY, "--grcae-ms=1", "did you mean '--grace-ms'?"),
                    new InvalidCase(VALID_ENTRY, "--max-attempts 0", "set it between 1 and 10"),
                    new InvalidCase(
                            VALID_ENTRY, "--port 80 --admin-port 80", "set different ports"),
                    new InvalidCase(VALID_ENTRY, "--listen-host localhost", "set an IP address"),
                    new InvalidCase(VALID_ENTRY, "--zone Zone_A", "set lower-case letters"),
                    new InvalidCase(
                            VALID_ENTRY, "--otlp-endpoint ftp://h/x", "set an http:// or https://"),
                    new InvalidCase(
                            VALID_ENTRY, "--log-level loud", "set one of error, warn, info"),
                    new InvalidCase(VALID_ENTRY, "--traffic-threads 0", "set it between 1 and 64"),
                    new InvalidCase(VALID_ENTRY, "--print-settings=maybe", "set true or false"),
                    new InvalidCase(
                            VALID_ENTRY, "--peers 127.0.0.1:1,x", "--peers is '127.0.0.1:1,x'"),
                    new InvalidCase(
                            VALID_ENTRY, "--watchers-per-zone 0", "set it between 1 and 64"),
                    new InvalidCase(
                            VALID_ENTRY, "--reconnect-ms 0", "set it between 1 and 3600000"),
                    new InvalidCase(
                            VALID_SIDE, "--resume-window-ms 0", "set it between 1 and 3600000"),
                    new InvalidCase(VALID_ENTRY, "stray", "see --help"),
                    new InvalidCase(List.of("--name=a"), "", "--object-api is missing; set it or"),
                    new InvalidCase(
                            VALID_SIDE, "--link-port 9 --admin-port 9", "set different ports"),
                    new InvalidCase(
                            VALID_SIDE, "--link-port 2", "--backend is this process itself"),
                    new InvalidCase(
                            VALID_SIDE, "--retention-ms 5", "set it between 1000 and 86400000"),
                    new InvalidCase(
                            List.of("--name=a", "--object-api=127.0.0.1:1"),
                            "--backend 127.0.0.1:1",
                            "set different addresses"),
                    new InvalidCase(
                            List.of("--name=a", "--object-api=nowhere"),
                            "--backend 127.0.0.1:1",
                            "--object-api is 'nowhere'; set IP:port"));

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(Map<String, String> environment, List<String> arguments) {
        out.reset();
        err.reset();
        Main main =
                new Main(
                        environment,
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8));
        return main.run(arguments);
    }

    private int run(String... arguments) {
        return run(Map.of(), List.of(arguments));
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    @Test
    void eachErrorReportsItsRemedy() {
        for (InvalidCase invalidCase : INVALID_CASES) {
            List<String> arguments = new ArrayList<>();
            arguments.add(invalidCase.validFlags() == VALID_ENTRY ? "entry" : "side");
            arguments.addAll(invalidCase.validFlags());
            arguments.add("--check");
            if (!invalidCase.extraFlags().isEmpty()) {
                arguments.addAll(List.of(invalidCase.extraFlags().split(" ")));
            }
            assertWithMessage("%s", invalidCase).that(run(Map.of(), arguments)).isEqualTo(2);
            assertWithMessage("%s", invalidCase)
                    .that(err())
                    .contains(invalidCase.expectedMessage());
        }
    }

    @Test
    void allErrorsAreReportedTogether() {
        Map<String, String> environment =
                Map.of("POLLENPATH_GRACE_MS", "long", "POLLENPATH_GRACE", "1");
        assertThat(run(environment, List.of("entry", "--prot", "1", "--port", "x", "--check")))
                .isEqualTo(ExitCodes.USAGE);
        assertThat(err()).contains("warning: POLLENPATH_GRACE is not a setting; did you mean");
        assertThat(err()).contains("POLLENPATH_GRACE_MS is 'long'; set a whole number");
        assertThat(err()).contains("flag '--prot' is unknown");
        assertThat(err()).contains("--port is 'x'");
        assertThat(err()).contains("--name is missing; set it or POLLENPATH_NAME");
        assertThat(err()).contains("--object-api is missing");
        assertThat(err()).contains("faults=5");
    }

    @Test
    void checkValidatesAndExits() {
        assertThat(run("entry", "--name=a", "--object-api=127.0.0.1:1", "--check")).isEqualTo(0);
        assertThat(out()).isEqualTo("settings=valid\n");
    }

    @Test
    void printedSettingsIncludeTheirSource() {
        Map<String, String> environment =
                Map.of("POLLENPATH_NAME", "fromenv", "POLLENPATH_PORT", "81");
        List<String> arguments =
                List.of("entry", "--object-api=127.0.0.1:1", "--port=80", "--print-settings");
        assertThat(run(environment, arguments)).isEqualTo(ExitCodes.OK);
        assertThat(out()).contains("flag=--port value=80 from=flag variable=POLLENPATH_PORT");
        assertThat(out()).contains("flag=--name value=fromenv from=environment");
        assertThat(out()).contains("flag=--grace-ms value=30000 from=default");
    }

    @Test
    void secretsAreHidden() {
        SecretSettings settings = new SecretSettings();
        CommandLine line =
                CommandLine.parse(
                        settings, List.of("--token=abc", "--url=http://u:p@h/x"), Map.of());
        assertThat(line.errors()).isEmpty();
        assertThat(settings.token + settings.url).isEqualTo("abchttp://u:p@h/x");
        List<String> shown = line.settings().stream().map(Setting::displayValue).toList();
        assertThat(shown).containsAtLeast("(hidden)", "http://(hidden)@h/x");
    }

    @Test
    void helpOfEachSubcommandNamesEveryFlagWithItsVariable() {
        for (Subcommand<?> subcommand : Subcommands.ALL) {
            assertThat(run("help", subcommand.name())).isEqualTo(ExitCodes.OK);
            String help = out();
            for (Setting setting : Setting.of(subcommand.newSettings())) {
                assertThat(help).contains(setting.flag());
                assertThat(help).contains(setting.isModeFlag() ? "" : setting.variable());
            }
            assertThat(run(subcommand.name(), "--help")).isEqualTo(ExitCodes.OK);
            assertThat(out()).isEqualTo(help);
        }
    }

    @Test
    void unknownSubcommandSuggestsTheNearestName() {
        assertThat(run("aply")).isEqualTo(ExitCodes.USAGE);
        assertThat(err()).contains("did you mean 'apply'?");
        assertThat(run("help", "sdie")).isEqualTo(ExitCodes.USAGE);
        assertThat(err()).contains("did you mean 'side'?");
        assertThat(run("--version")).isEqualTo(ExitCodes.OK);
        assertThat(out()).startsWith("pollenpath ");
    }

    static final class SecretSettings extends BaseSettings {
        @Check(secret = true)
        @Parameter(names = "--token", description = "A secret")
        public String token = "";

        @Check(form = Form.URL)
        @Parameter(names = "--url", description = "A URL")
        public String url = "";
    }
}
