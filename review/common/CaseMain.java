package review.common;

import java.nio.file.Path;

/** Runs one case and ends with its exit code. */
public final class CaseMain {

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    private CaseMain() {}

    /** A case; returns whether the rule was broken. */
    public interface Case {

        /** Plays the case, with the disruption or without it. */
        boolean isRuleBroken(CaseRecord record, boolean trouble) throws Exception;
    }

    /** Runs a case that records into its folder, and exits. */
    public static void run(String folder, Case review) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = NOT_RUN;
        try (CaseRecord record = new CaseRecord(Path.of(folder, "record.txt"))) {
            record.add(trouble ? "with the disruption" : "without the disruption");
            code = result(record, review, trouble);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int result(CaseRecord record, Case review, boolean trouble) {
        try {
            boolean broken = review.isRuleBroken(record, trouble);
            record.add(broken ? "result: the rule was broken" : "result: the rule held");
            return broken ? BROKEN : HELD;
        } catch (Exception e) {
            record.add("result: the case could not run: " + e);
            return NOT_RUN;
        }
    }
}
