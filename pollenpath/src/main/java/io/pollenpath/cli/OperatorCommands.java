package io.pollenpath.cli;

import io.pollenpath.cli.explain.ExplainCommand;
import io.pollenpath.protocol.DeclarationRules;
import io.pollenpath.protocol.ObjectApiException;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpObjectApi;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Digests;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletionException;

/** Runs the operator commands and maps their failures to messages and exit codes. */
final class OperatorCommands {

    private static final String SHARED_USER = "root";

    /** An operator command that uses the Object API and returns the exit code. */
    @FunctionalInterface
    private interface Action {
        int run(ObjectCommands commands) throws IOException;
    }

    private OperatorCommands() {}

    static int apply(ApplySettings settings, boolean dryRun) {
        if (settings.operator.equals(SHARED_USER)) {
            System.err.println(
                    "warning: --operator is '"
                            + SHARED_USER
                            + "'; set your own name, so that changes by others can be"
                            + " told apart");
        }
        return withObjectApi(
                settings,
                commands -> {
                    ApplyPlan.Mode mode = new ApplyPlan.Mode(settings.operator, settings.overwrite);
                    return commands.apply(Path.of(settings.file), mode, dryRun);
                });
    }

    static int get(GetSettings settings) {
        return withObjectApi(
                settings,
                commands -> {
                    boolean yaml = settings.output.equals("yaml");
                    String kind = settings.arguments.get(0);
                    if (settings.arguments.size() > 1) {
                        commands.get(kind, settings.arguments.get(1), yaml);
                    } else {
                        commands.get(kind, yaml);
                    }
                    return ExitCodes.OK;
                });
    }

    static int status(OperatorSettings settings) {
        return withObjectApi(
                settings,
                commands -> {
                    commands.status();
                    return ExitCodes.OK;
                });
    }

    static int setDrained(DrainSettings settings, boolean drained) {
        return withObjectApi(
                settings,
                commands -> {
                    commands.setDrained(settings.arguments.get(0), drained, settings.operator);
                    return ExitCodes.OK;
                });
    }

    static int explain(ExplainSettings settings) {
        List<String> files = settings.arguments.subList(1, settings.arguments.size());
        try {
            boolean known =
                    new ExplainCommand(System.in, System.out)
                            .explain(settings.arguments.get(0), files);
            return known ? ExitCodes.OK : ExitCodes.FAILED;
        } catch (IOException | UncheckedIOException e) {
            System.err.println("error: a log can't be read: " + e + "; pass readable text files");
            return ExitCodes.FAILED;
        }
    }

    static int hashKey(BaseSettings settings) {
        try {
            BufferedReader input =
                    new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
            String key = input.readLine();
            if (key == null || key.isBlank()) {
                System.err.println("error: no key on standard input; write it as one line");
                return ExitCodes.USAGE;
            }
            System.out.println(Digests.sha256Hex(key.trim()));
            return ExitCodes.OK;
        } catch (IOException e) {
            System.err.println("error: cannot read standard input: " + e.getMessage());
            return ExitCodes.FAILED;
        }
    }

    static int schema() {
        try (InputStream schema = DeclarationRules.schema()) {
            schema.transferTo(System.out);
            System.out.flush();
            return ExitCodes.OK;
        } catch (IOException e) {
            System.err.println("error: cannot print the schema: " + e.getMessage());
            return ExitCodes.FAILED;
        }
    }

    private static int withObjectApi(OperatorSettings settings, Action action) {
        LogSetup.configureForCommand(settings.logLevel);
        NettyLoops loops = new NettyLoops(1);
        try (HttpClient client = new HttpClient(loops)) {
            HttpAddress address = HttpAddress.parse(settings.objectApi);
            HttpObjectApi api = new HttpObjectApi(client, address, settings.objectApiTimeoutMs);
            return action.run(new ObjectCommands(api, System.out, System.err));
        } catch (ApplyConflictException e) {
            new ApplyReport(System.out, System.err).printConflicts(e.plans());
            System.err.println("error: " + e.getMessage());
            return ExitCodes.CONFLICT;
        } catch (ObjectApiException e) {
            System.err.println("error: " + e.getMessage());
            return ExitCodes.FAILED;
        } catch (CompletionException e) {
            System.err.println("error: " + e.getCause().getMessage());
            boolean conflict =
                    e.getCause() instanceof ObjectApiException cause
                            && cause.kind() == ObjectApiException.Kind.CONFLICT;
            return conflict ? ExitCodes.CONFLICT : ExitCodes.FAILED;
        } catch (IllegalArgumentException e) {
            System.err.println("error: " + e.getMessage());
            return ExitCodes.USAGE;
        } catch (IOException e) {
            System.err.println("error: cannot read the declarations: " + e.getMessage());
            return ExitCodes.FAILED;
        } finally {
            loops.close();
        }
    }
}
