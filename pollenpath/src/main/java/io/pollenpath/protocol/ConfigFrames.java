package io.pollenpath.protocol;

import com.google.protobuf.ByteString;
import io.pollenpath.coordination.ConfigEntry;
import io.pollenpath.coordination.ConfigMessage;
import io.pollenpath.coordination.WatcherSighting;
import io.pollenpath.protocol.wire.ConfigObject;
import io.pollenpath.protocol.wire.ConfigPull;
import io.pollenpath.protocol.wire.ConfigPush;
import io.pollenpath.protocol.wire.ConfigSummary;
import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.util.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** Converts configuration messages to and from the frames of peer links. */
public final class ConfigFrames {

    private ConfigFrames() {}

    /**
     * Converts a message to a frame.
     *
     * @param message the message, not null
     * @return the frame builder; its version is not set
     */
    public static Frame.Builder toFrame(ConfigMessage message) {
        Frame.Builder frame = Frame.newBuilder();
        if (message instanceof ConfigMessage.Summary summary) {
            frame.setConfigSummary(summary(summary));
        } else if (message instanceof ConfigMessage.Pull pull) {
            frame.setConfigPull(
                    ConfigPull.newBuilder()
                            .setEpoch(pull.epoch())
                            .addAllBucketDigests(pull.bucketDigests()));
        } else if (message instanceof ConfigMessage.Push push) {
            frame.setConfigPush(push(push));
        }
        return frame;
    }

    private static ConfigSummary.Builder summary(ConfigMessage.Summary summary) {
        ConfigSummary.Builder builder =
                ConfigSummary.newBuilder()
                        .setEpoch(summary.epoch())
                        .setRevision(summary.revision())
                        .setDigest(summary.digest())
                        .setConfirmedAgeMs(summary.confirmedAgeMs());
        for (WatcherSighting sighting : summary.watchers()) {
            builder.addWatchersBuilder()
                    .setProcess(sighting.process())
                    .setZone(sighting.zone())
                    .setAgeMs((int) sighting.ageMs());
        }
        return builder;
    }

    private static ConfigPush.Builder push(ConfigMessage.Push push) {
        ConfigPush.Builder builder =
                ConfigPush.newBuilder().setEpoch(push.epoch()).addAllBuckets(push.buckets());
        for (ConfigEntry entry : push.entries()) {
            builder.addObjectsBuilder()
                    .setKind(entry.kind())
                    .setName(entry.name())
                    .setVersion(entry.version())
                    .setDeleted(entry.deleted())
                    .setJson(ByteString.copyFromUtf8(entry.json()));
        }
        return builder;
    }

    /**
     * Converts a frame to a configuration message.
     *
     * @param frame the frame, not null
     * @return the message, or empty if the frame carries no configuration message
     */
    public static Optional<ConfigMessage> fromFrame(Frame frame) {
        return switch (frame.getBodyCase()) {
            case CONFIG_SUMMARY -> Optional.of(summary(frame.getConfigSummary()));
            case CONFIG_PULL ->
                    Optional.of(
                            new ConfigMessage.Pull(
                                    frame.getConfigPull().getEpoch(),
                                    frame.getConfigPull().getBucketDigestsList()));
            case CONFIG_PUSH -> Optional.of(push(frame.getConfigPush()));
            default -> Optional.empty();
        };
    }

    private static ConfigMessage summary(ConfigSummary frame) {
        List<WatcherSighting> watchers =
                frame.getWatchersList().stream()
                        .map(w -> new WatcherSighting(w.getProcess(), w.getZone(), w.getAgeMs()))
                        .toList();
        return new ConfigMessage.Summary(
                frame.getEpoch(),
                frame.getRevision(),
                frame.getDigest(),
                frame.getConfirmedAgeMs(),
                watchers);
    }

    private static ConfigMessage push(ConfigPush frame) {
        List<ConfigEntry> entries =
                frame.getObjectsList().stream().map(ConfigFrames::entry).toList();
        return new ConfigMessage.Push(frame.getEpoch(), entries, frame.getBucketsList());
    }

    private static ConfigEntry entry(ConfigObject object) {
        return new ConfigEntry(
                object.getKind(),
                object.getName(),
                object.getVersion(),
                object.getDeleted(),
                object.getJson().toStringUtf8());
    }

    /**
     * Converts a stored object to a configuration entry.
     *
     * @param object the object, not null
     * @return the entry
     */
    public static ConfigEntry toEntry(ApiObject object) {
        return new ConfigEntry(
                object.kind(), object.name(), object.version(), false, Json.text(object.toJson()));
    }

    /**
     * Converts a configuration entry to the stored object.
     *
     * @param entry an entry that does not mark a deletion, not null
     * @return the object
     * @throws IllegalArgumentException if its JSON is not a valid object
     */
    public static ApiObject toObject(ConfigEntry entry) {
        return ApiObject.fromJson(Json.parse(entry.json().getBytes(StandardCharsets.UTF_8)));
    }
}
