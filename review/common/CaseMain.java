package review.common;

import java.nio.file.Path;
import java.util.Timer;
import java.util.TimerTask;

/** Runs one case and ends with its exit code. */
public final class CaseMain {

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    /** A case that takes longer has not run. */
    private static final long MAX_DURATION_MS = 110_000;

    private CaseMain() {}

    /** A case; returns whether the rule was broken. */
    public interface Case {

        /** Plays the case, with the disruption or without it. */
        boolean isRuleBroken(CaseRecord record, boolean trouble) throws Exception;
    }

    /**
     * Runs a case and exits.
     *
     * @param arguments the file of the record, and 0 to leave the disruption out
     */
    public static void run(String[] arguments, Case review) {
        boolean trouble = !arguments[1].equals("0");
        limitDuration();
        int code = NOT_RUN;
        try (CaseRecord record = new CaseRecord(Path.of(arguments[0]))) {
            record.add(trouble ? "with the disruption" : "without the disruption");
            code = result(record, review, trouble);
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static void limitDuration() {
        new Timer("duration", true)
                .schedule(
                        new TimerTask() {
                            @Override
                            public void run() {
                                System.exit(NOT_RUN);
                            }
                        },
                        MAX_DURATION_MS);
    }

    private static int result(CaseRecord record, Case review, boolean trouble) {
        try {
            boolean broken = review.isRuleBroken(record, trouble);
            record.add(broken ? "result: the rule was broken" : "result: the rule held");
            return broken ? BROKEN : HELD;
        } catch (Throwable e) {
            record.add("result: the case could not run: " + e);
            return NOT_RUN;
        }
    }
}
