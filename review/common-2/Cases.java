package io.pollenpath.review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs a case and ends the process with its exit code. */
public final class Cases {

    /** The exit code if the rule held. */
    public static final int HELD = 0;

    /** The exit code if the rule was broken. */
    public static final int BROKEN = 1;

    /** The exit code if the case could not run. */
    public static final int NOT_RUN = 2;

    private Cases() {}

    /** A case that plays with or without its disruption. */
    public interface Body {

        /** Plays the case; returns its exit code. */
        int play(Path temporary, Record record, boolean disrupted) throws Exception;
    }

    /** Plays a case; the variable {@code TROUBLE=0} leaves the disruption out. */
    public static void run(int number, Body body) throws IOException {
        boolean disrupted = !"0".equals(System.getenv("TROUBLE"));
        Path temporary = Files.createTempDirectory("review-" + number + "-");
        int code;
        try (Record record = new Record(Path.of("review", Integer.toString(number)))) {
            record.show("case " + number + (disrupted ? "" : " without its disruption"));
            code = play(body, temporary, record, disrupted);
            record.show(code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "the case could not run");
        } finally {
            delete(temporary);
        }
        System.exit(code);
    }

    /** Shows what makes the entry a machine in touch. */
    public static void showConditions(Record record, EntryProcess entry, StoreStandin store) {
        record.show("in touch: the entry's process runs since its only start, ms: " + entry.ranForMs());
        record.show("core stable: the store, " + store.state());
    }

    private static int play(Body body, Path temporary, Record record, boolean disrupted) {
        try {
            return body.play(temporary, record, disrupted);
        } catch (Exception e) {
            record.show("failed: " + e);
            return NOT_RUN;
        }
    }

    private static void delete(Path folder) throws IOException {
        List<Path> paths;
        try (Stream<Path> walked = Files.walk(folder)) {
            paths = walked.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : paths) {
            try {
                Files.deleteIfExists(path);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
