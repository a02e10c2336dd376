package io.pollenpath.coordination.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Divides the memory of a process among all requests and answers that it buffers. What is small
 * finds room also while large bodies use up theirs. What is large waits for room in the order of
 * its coming. If none that waits gets any for a while, the buffered answer that is least proven to
 * end gives up its memory: one that names no length before one that does, then the largest. Used by
 * one thread.
 */
public final class MemoryBudget {

    /** How long all that wait may get nothing, before an answer is cut. */
    static final long MAX_STANDSTILL_NANOS = 250_000_000;

    /** What a body of unknown length may grow by once it goes on. */
    static final long GROWTH_BYTES = 65_536;

    /** The part of the memory that large bodies may use. */
    private static final double LARGE_FRACTION = 0.75;

    private static final Comparator<Share> LEAST_PROVEN_FIRST =
            Comparator.comparing(Share::isLengthKnown)
                    .thenComparing(Comparator.comparingLong(Share::bytes).reversed());

    private final long capacityBytes;
    private final long largeCapacityBytes;
    private final long smallBytes;
    private final Set<Share> large = new LinkedHashSet<>();
    private final Set<Share> waiting = new LinkedHashSet<>();
    private long usedBytes;
    private boolean goesOn = true;
    private long standsStillSinceNanos;

    /** Owns bytes in memory. Calls come from the thread of the budget. */
    public interface Owner {

        /** Hears that the bytes that were waited for may be read. */
        void onGranted();

        /** Hears that the memory is needed for others; must close the share. */
        void onCut();
    }

    /** The memory of one request or answer. */
    public final class Share {

        private final Owner owner;
        private final boolean mayBeCut;
        private boolean lengthKnown;
        private long bytes;
        private long wantedBytes;
        private boolean closed;

        private Share(Owner owner, boolean mayBeCut) {
            this.owner = owner;
            this.mayBeCut = mayBeCut;
        }

        /**
         * Reserves memory for a body that names its length.
         *
         * @param totalBytes the length, in bytes
         * @return whether the memory is there; otherwise the owner stops reading until it hears
         *     that it is granted
         */
        public boolean reserve(long totalBytes) {
            lengthKnown = true;
            if (closed || totalBytes <= bytes) {
                return true;
            }
            if (fits(this, totalBytes - bytes)) {
                grow(totalBytes - bytes);
                return true;
            }
            await(totalBytes - bytes);
            return false;
        }

        /**
         * Counts bytes that are in memory already.
         *
         * @param totalBytes all bytes of this share, in bytes
         * @return whether more may be read; otherwise the owner stops reading until it hears that
         *     it is granted
         */
        public boolean cover(long totalBytes) {
            long more = totalBytes - bytes;
            if (closed || more <= 0) {
                return wantedBytes == 0;
            }
            grow(more);
            if (wantedBytes > 0) {
                wantedBytes = Math.max(1, wantedBytes - more);
                return false;
            }
            if (fits(this, 0)) {
                return true;
            }
            await(GROWTH_BYTES);
            return false;
        }

        /**
         * Counts bytes that are in memory already and are not waited for.
         *
         * @param moreBytes the further bytes, in bytes, at least 0
         */
        public void hold(long moreBytes) {
            if (!closed) {
                grow(moreBytes);
            }
        }

        /**
         * Gives back bytes that are in memory no more.
         *
         * @param totalBytes the bytes that are left at most, in bytes
         */
        public void shrink(long totalBytes) {
            if (!closed && totalBytes < bytes) {
                free(bytes - totalBytes);
                grantWaiting();
            }
        }

        /** Gives up waiting; the bytes stay. */
        public void stopWaiting() {
            wantedBytes = 0;
            waiting.remove(this);
        }

        /** Gives back all bytes. Further calls have no effect. */
        public void close() {
            if (closed) {
                return;
            }
            closed = true;
            stopWaiting();
            free(bytes);
            grantWaiting();
        }

        /**
         * Returns the bytes of this share.
         *
         * @return the number of bytes
         */
        public long bytes() {
            return bytes;
        }

        private boolean isLengthKnown() {
            return lengthKnown;
        }

        private void grow(long more) {
            bytes += more;
            usedBytes += more;
            if (bytes > smallBytes) {
                large.add(this);
            }
        }

        private void free(long less) {
            bytes -= less;
            usedBytes -= less;
            if (bytes <= smallBytes) {
                large.remove(this);
            }
        }

        private void await(long more) {
            wantedBytes = more;
            goesOn = goesOn || waiting.isEmpty();
            waiting.add(this);
        }
    }

    /**
     * Creates a budget of which nothing is used.
     *
     * @param capacityBytes the memory for all shares together, in bytes, above 0
     * @param smallBytes the size up to which a share counts as small, in bytes, at least 0
     */
    public MemoryBudget(long capacityBytes, long smallBytes) {
        if (capacityBytes < 1 || smallBytes < 0) {
            throw new IllegalArgumentException(
                    "set capacityBytes above 0 and smallBytes to at least 0");
        }
        this.capacityBytes = capacityBytes;
        this.smallBytes = smallBytes;
        largeCapacityBytes = (long) (LARGE_FRACTION * capacityBytes);
    }

    /**
     * Opens an empty share.
     *
     * @param owner hears when it may read on, and when it is cut, not null
     * @param mayBeCut whether the memory may be taken away for others
     * @return the share
     */
    public Share open(Owner owner, boolean mayBeCut) {
        return new Share(Objects.requireNonNull(owner, "owner"), mayBeCut);
    }

    /**
     * Returns whether a body could be buffered if there were no others.
     *
     * @param bytes the length of the body, in bytes
     * @return false if it can never be buffered
     */
    public boolean isPossible(long bytes) {
        return bytes <= Math.max(smallBytes, largeCapacityBytes);
    }

    private boolean fits(Share share, long more) {
        boolean isSmall = share.bytes + more <= smallBytes;
        return usedBytes + more <= (isSmall ? capacityBytes : largeCapacityBytes);
    }

    private void grantWaiting() {
        boolean largeOneWaits = false;
        for (Share share : List.copyOf(waiting)) {
            boolean isLarge = share.bytes + share.wantedBytes > smallBytes;
            if (isLarge && largeOneWaits) {
                continue;
            }
            if (waiting.contains(share) && fits(share, share.wantedBytes)) {
                share.grow(share.wantedBytes);
                share.stopWaiting();
                goesOn = true;
                share.owner.onGranted();
            } else {
                largeOneWaits = largeOneWaits || isLarge;
            }
        }
    }

    /**
     * Cuts an answer if somebody waits and none has got memory for too long.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the bytes of the answer that was cut; empty if none was
     */
    public Optional<Long> onTick(long nowNanos) {
        if (waiting.isEmpty() || goesOn) {
            goesOn = false;
            standsStillSinceNanos = nowNanos;
            return Optional.empty();
        }
        if (nowNanos - standsStillSinceNanos < MAX_STANDSTILL_NANOS) {
            return Optional.empty();
        }
        standsStillSinceNanos = nowNanos;
        Optional<Share> victim =
                new ArrayList<>(large)
                        .stream().filter(share -> share.mayBeCut).min(LEAST_PROVEN_FIRST);
        Optional<Long> bytes = victim.map(Share::bytes);
        victim.ifPresent(share -> share.owner.onCut());
        return bytes;
    }

    /**
     * Returns the bytes of all shares.
     *
     * @return the number of bytes
     */
    public long usedBytes() {
        return usedBytes;
    }

    /**
     * Returns the number of shares that wait for memory.
     *
     * @return the number
     */
    public int waiting() {
        return waiting.size();
    }
}
