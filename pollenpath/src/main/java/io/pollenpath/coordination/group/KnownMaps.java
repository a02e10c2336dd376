package io.pollenpath.coordination.group;

import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.group.VersionedMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The expert maps of one epoch that a leader knows: its own, and that which the ranks report. */
final class KnownMaps {

    private final Map<Integer, List<List<Integer>>> hostedExperts = new HashMap<>();
    private final Map<Long, ExpertMap> mapsByVersion = new HashMap<>();

    /** Forgets everything, for a new epoch. */
    void clear() {
        hostedExperts.clear();
        mapsByVersion.clear();
    }

    /** Forgets what the ranks have reported, so that it is read again. */
    void clearReported() {
        hostedExperts.clear();
    }

    /** Records the experts that a rank hosts under the active map, one list for each set. */
    void onExperts(int rank, List<List<Integer>> hosted) {
        hostedExperts.put(rank, hosted);
    }

    /**
     * Records the next active map, beside the one that the ranks may still report.
     *
     * @param version the version of the map
     * @param map the map, not null
     * @param reportedVersion the version that the ranks may still report
     */
    void record(long version, ExpertMap map, long reportedVersion) {
        mapsByVersion.keySet().retainAll(Set.of(reportedVersion));
        mapsByVersion.put(version, map);
    }

    /** Returns the map that a rank reports as active; empty while it is not known. */
    Optional<VersionedMap> active(RankStatus status) {
        ExpertMap map = mapsByVersion.get(status.mapVersion());
        if (map == null && hostedExperts.size() == status.size()) {
            map = hostedMap(status.size());
            mapsByVersion.put(status.mapVersion(), map);
        }
        return map == null
                ? Optional.empty()
                : Optional.of(new VersionedMap(status.mapVersion(), map));
    }

    private ExpertMap hostedMap(int ranks) {
        List<List<List<Integer>>> byRank = new ArrayList<>();
        for (int rank = 0; rank < ranks; rank++) {
            byRank.add(hostedExperts.get(rank));
        }
        return ExpertMap.ofRanks(byRank);
    }
}
