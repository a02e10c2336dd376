package io.pollenpath.coordination;

import java.util.List;

/** A message by which processes exchange configuration. */
public sealed interface ConfigMessage {

    /**
     * Stands for the age of a confirmation by the store that was never received, in milliseconds.
     */
    long NEVER_MS = Long.MAX_VALUE;

    /**
     * Returns the epoch of the sender; messages of another epoch are ignored.
     *
     * @return the epoch
     */
    long epoch();

    /**
     * A summary of the configuration that the sender holds.
     *
     * @param epoch the epoch of the sender
     * @param revision the highest version that the sender has merged
     * @param digest the digest of the sender's live objects
     * @param confirmedAgeMs the time since the store confirmed them, in milliseconds, {@link
     *     ConfigMessage#NEVER_MS} if never
     * @param watchers the live watchers known to the sender
     */
    record Summary(
            long epoch,
            long revision,
            long digest,
            long confirmedAgeMs,
            List<WatcherSighting> watchers)
            implements ConfigMessage {

        /** Copies the list. */
        public Summary {
            watchers = List.copyOf(watchers);
        }
    }

    /**
     * A request for the entries of each bucket that differs.
     *
     * @param epoch the epoch of the sender
     * @param bucketDigests the digests of the sender's buckets, in the order of the buckets
     */
    record Pull(long epoch, List<Long> bucketDigests) implements ConfigMessage {

        /** Copies the list. */
        public Pull {
            bucketDigests = List.copyOf(bucketDigests);
        }
    }

    /**
     * Entries sent to a peer.
     *
     * @param epoch the epoch of the sender
     * @param entries the entries
     * @param buckets the buckets whose entries are complete in this message; empty if only changed
     *     entries are sent
     */
    record Push(long epoch, List<ConfigEntry> entries, List<Integer> buckets)
            implements ConfigMessage {

        /** Copies the lists. */
        public Push {
            entries = List.copyOf(entries);
            buckets = List.copyOf(buckets);
        }
    }
}
