package io.pollenpath.transport.group;

import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.ExpertMapChanges;
import io.pollenpath.state.group.VersionedMap;
import java.util.Optional;

/**
 * Encodes the commands of one leader. A map is encoded once for all ranks, as its changes from the
 * active map for the ranks whose agents know that one.
 */
final class CommandEncoder {

    private final String group;
    private final long token;
    private Optional<VersionedMap> base = Optional.empty();
    private Optional<Encoded> wholeMap = Optional.empty();
    private Optional<Encoded> mapChanges = Optional.empty();

    private record Encoded(long version, long epoch, byte[] message) {}

    CommandEncoder(String group, long token) {
        this.group = group;
        this.token = token;
    }

    /**
     * Sets the map from which the next maps differ.
     *
     * @param active the active map; empty if it is not known
     */
    void setBase(Optional<VersionedMap> active) {
        base = active.filter(map -> map.version() > 0);
        mapChanges = Optional.empty();
    }

    /**
     * Encodes a command; the caller must not change the message.
     *
     * @param whole whether a map is encoded as a whole, because the agent does not know the base
     */
    byte[] encode(EngineCommand command, long epoch, boolean whole) {
        if (!(command instanceof EngineCommand.Prepare prepare)) {
            return GroupMessages.encode(command, group, epoch, token);
        }
        return whole || base.isEmpty()
                ? encodeWhole(prepare, epoch)
                : encodeChanges(prepare, epoch, base.get());
    }

    private byte[] encodeWhole(EngineCommand.Prepare prepare, long epoch) {
        if (!isFor(wholeMap, prepare, epoch)) {
            byte[] message = GroupMessages.encode(prepare, group, epoch, token);
            wholeMap = Optional.of(new Encoded(prepare.version(), epoch, message));
        }
        return wholeMap.orElseThrow().message();
    }

    private byte[] encodeChanges(EngineCommand.Prepare prepare, long epoch, VersionedMap from) {
        if (!isFor(mapChanges, prepare, epoch)) {
            ExpertMapChanges changes = ExpertMapChanges.between(from.map(), prepare.map());
            byte[] message =
                    GroupMessages.encodeChanges(
                            prepare, changes, from.version(), group, epoch, token);
            mapChanges = Optional.of(new Encoded(prepare.version(), epoch, message));
        }
        return mapChanges.orElseThrow().message();
    }

    private static boolean isFor(
            Optional<Encoded> encoded, EngineCommand.Prepare prepare, long epoch) {
        return encoded.isPresent()
                && encoded.get().version() == prepare.version()
                && encoded.get().epoch() == epoch;
    }
}
