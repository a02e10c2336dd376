package io.pollenpath.coordination;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ConfigReplicaTest {

    private static final long RETENTION_NANOS = 1_000;
    private static final int MAX_MARKERS = 3;

    private final ConfigReplica replica = replica();

    private static ConfigReplica replica() {
        return new ConfigReplica(MergeRule.MAXIMUM_VERSION, RETENTION_NANOS, MAX_MARKERS);
    }

    private static ConfigEntry live(String name, long version) {
        return new ConfigEntry("Contract", name, version, false, "v" + version);
    }

    private static ConfigEntry deleted(String name, long version) {
        return ConfigEntry.deletion("Contract", name, version);
    }

    @Property(seed = "1")
    void orderOfMergesDoesNotMatter(@ForAll List<@IntRange(min = 1, max = 50) Integer> versions) {
        ConfigReplica merged = replica();
        int highest = 0;
        for (int version : versions) {
            boolean changed = merged.merge(live("a", version), 0);
            assertThat(changed).isEqualTo(version > highest);
            highest = Math.max(highest, version);
        }
        assertThat(merged.revision()).isEqualTo(highest);
    }

    @Property(seed = "2")
    void digestDependsOnContentOnly(@ForAll List<@IntRange(min = 1, max = 99) Integer> versions) {
        List<ConfigEntry> entries = new ArrayList<>();
        for (int version : versions) {
            String name = "n" + version % 5;
            entries.add(version % 7 == 0 ? deleted(name, version) : live(name, version));
        }
        ConfigReplica forward = replica();
        entries.forEach(entry -> forward.merge(entry, 0));
        Collections.shuffle(entries, new Random(3));
        ConfigReplica shuffled = replica();
        entries.forEach(entry -> shuffled.merge(entry, 0));
        assertThat(shuffled.digest()).isEqualTo(forward.digest());
        assertThat(shuffled.bucketDigests()).isEqualTo(forward.bucketDigests());
        assertThat(shuffled.differingBuckets(forward.bucketDigests())).isEmpty();
    }

    @Test
    void differingBucketsContainTheChangedObject() {
        ConfigReplica other = replica();
        replica.merge(live("a", 1), 0);
        other.merge(live("a", 1), 0);
        other.merge(live("b", 2), 0);
        List<Integer> differing = other.differingBuckets(replica.bucketDigests());
        assertThat(other.entriesIn(differing)).contains(live("b", 2));
        assertThat(differing).hasSize(1);
    }

    @Test
    void olderCopyDoesNotRestoreDeletedObject() {
        replica.merge(live("a", 5), 0);
        replica.merge(deleted("a", 7), 0);
        assertThat(replica.merge(live("a", 5), 0)).isFalse();
        replica.prune(RETENTION_NANOS);
        assertThat(replica.markerCount()).isEqualTo(0);
        assertThat(replica.merge(live("a", 5), 0)).isFalse();
        assertThat(replica.merge(live("a", 8), 0)).isTrue();
    }

    @Test
    void oldestMarkersAreDroppedBeyondTheLimit() {
        for (int i = 1; i <= MAX_MARKERS + 2; i++) {
            replica.merge(deleted("n" + i, i), 0);
        }
        replica.prune(1);
        assertThat(replica.markerCount()).isEqualTo(MAX_MARKERS);
        assertThat(replica.find("Contract/n2")).isNull();
        assertThat(replica.find("Contract/n3")).isNotNull();
    }

    @Test
    void listingDeletesMissingObjectsUnlessNewer() {
        replica.merge(live("old", 5), 0);
        replica.merge(live("new", 12), 0);
        replica.mergeListing("Contract", List.of(live("kept", 4)), 10, 0);
        assertThat(replica.find("Contract/old").deleted()).isTrue();
        assertThat(replica.find("Contract/new").deleted()).isFalse();
        assertThat(replica.find("Contract/kept").version()).isEqualTo(4);
    }

    @Test
    void listingIsAcceptedBelowTheFloorOfDroppedMarkers() {
        replica.merge(deleted("a", 9), 0);
        replica.prune(RETENTION_NANOS);
        assertThat(replica.merge(live("b", 4), 0)).isFalse();
        assertThat(replica.mergeListing("Contract", List.of(live("b", 4)), 9, 0)).hasSize(1);
    }

    @Test
    void listingOfRestoredStoreDoesNotRevertNewerObjects() {
        replica.merge(live("a", 20), 0);
        replica.mergeListing("Contract", List.of(live("a", 3)), 4, 0);
        assertThat(replica.find("Contract/a").version()).isEqualTo(20);
    }
}
