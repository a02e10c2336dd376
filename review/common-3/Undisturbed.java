package review3;

/** Shows in the record what an entry must have met to be in touch, and how the store answered. */
public final class Undisturbed {

    private final Record record;
    private final Process entry;
    private final Store store;

    /** Records the start of the entry, which is the only one. */
    public Undisturbed(Record record, Process entry, Store store) {
        this.record = record;
        this.entry = entry;
        this.store = store;
        record.line("the entry is started, for the only time");
    }

    /**
     * Records the conditions at the end.
     *
     * @param disturbance what the case did to the entry or its links
     * @return whether the entry still runs
     */
    public boolean show(String disturbance) {
        boolean runs = entry.isAlive();
        record.line(
                "the entry runs: %s; done to it and its links: %s; the store answered %d calls and cut off %d watches"
                        .formatted(runs, disturbance, store.answered(), store.cutOff()));
        return runs;
    }
}
