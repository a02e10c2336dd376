package io.pollenpath.coordination.serving;

import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Groups the crashes of a service that happen at about the same time. Many servers may end together
 * for one cause, and then each request that many have in common is on some of them by chance.
 */
final class CrashEpisodes {

    private static final long LENGTH_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final IdentityHashMap<CrashRecord, Episode> episodes = new IdentityHashMap<>();

    private static final class Episode {
        private final long startNanos;
        private int crashes;

        Episode(long startNanos) {
            this.startNanos = startNanos;
        }
    }

    CrashEpisodes(Collection<CrashRecord> crashes) {
        Map<String, Episode> latest = new HashMap<>();
        crashes.stream()
                .sorted((one, other) -> Long.signum(one.nanos() - other.nanos()))
                .forEach(crash -> add(crash, latest));
    }

    private void add(CrashRecord crash, Map<String, Episode> latest) {
        Episode episode = latest.get(crash.service());
        if (episode == null || crash.nanos() - episode.startNanos > LENGTH_NANOS) {
            episode = new Episode(crash.nanos());
            latest.put(crash.service(), episode);
        }
        episode.crashes++;
        episodes.put(crash, episode);
    }

    /**
     * Counts crashes that have a suspect in common. Those of an episode count as one if most
     * servers of the episode crashed without the suspect.
     *
     * @param crashes the crashes with the suspect
     * @param maxOfEpisode the largest number of crashes of one episode that count
     */
    int count(List<CrashRecord> crashes, int maxOfEpisode) {
        IdentityHashMap<Episode, Integer> counts = new IdentityHashMap<>();
        crashes.forEach(crash -> counts.merge(episodes.get(crash), 1, Integer::sum));
        int total = 0;
        for (Map.Entry<Episode, Integer> entry : counts.entrySet()) {
            boolean onMost = 2 * entry.getValue() >= entry.getKey().crashes;
            total += onMost ? Math.min(entry.getValue(), maxOfEpisode) : 1;
        }
        return total;
    }
}
