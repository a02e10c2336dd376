package io.pollenpath.util;

import java.util.Collection;
import java.util.Optional;

/** Finds the known name that is nearest to a mistyped one, by edit distance. */
public final class NearestName {

    private static final int MIN_ALLOWED_EDITS = 2;
    private static final int CHARS_PER_EDIT = 3;

    private NearestName() {}

    /**
     * Finds the nearest known name.
     *
     * @param name the mistyped name, not null
     * @param known the known names, not null; an empty collection gives no result
     * @return the nearest, or empty if none is similar
     */
    public static Optional<String> find(String name, Collection<String> known) {
        int allowed = Math.max(MIN_ALLOWED_EDITS, name.length() / CHARS_PER_EDIT);
        String nearest = null;
        int least = allowed + 1;
        for (String candidate : known) {
            int edits = distance(name, candidate);
            if (edits < least) {
                least = edits;
                nearest = candidate;
            }
        }
        return Optional.ofNullable(nearest);
    }

    /**
     * Writes a remedy that names the nearest known name, or all of them if none is similar.
     *
     * @param name the mistyped name, not null
     * @param known the known names, not null
     * @return {@code did you mean 'x'?} or {@code use one of x, y}
     */
    public static String suggestion(String name, Collection<String> known) {
        return find(name, known)
                .map(nearest -> "did you mean '" + nearest + "'?")
                .orElse("use one of " + String.join(", ", known));
    }

    /** Counts the insertions, deletions and replacements that turn one text into the other. */
    static int distance(String a, String b) {
        int[] previous = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] row = new int[b.length() + 1];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int replaced = previous[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(replaced, Math.min(previous[j], row[j - 1]) + 1);
            }
            previous = row;
        }
        return previous[b.length()];
    }
}
