package io.pollenpath.transport.group;

import io.pollenpath.state.group.EngineCommand;

/**
 * Encodes the commands of one leader. All ranks get the same message with a map, so that it is
 * encoded once.
 */
final class CommandEncoder {

    private static final byte[] NONE = new byte[0];

    private final String group;
    private final long token;
    private byte[] prepareMessage = NONE;
    private long preparedVersion = -1;
    private long preparedEpoch = -1;

    CommandEncoder(String group, long token) {
        this.group = group;
        this.token = token;
    }

    /** Returns the message of a command for an epoch; the caller must not change it. */
    byte[] encode(EngineCommand command, long epoch) {
        if (!(command instanceof EngineCommand.Prepare prepare)) {
            return GroupMessages.encode(command, group, epoch, token);
        }
        if (prepare.version() != preparedVersion || epoch != preparedEpoch) {
            prepareMessage = GroupMessages.encode(command, group, epoch, token);
            preparedVersion = prepare.version();
            preparedEpoch = epoch;
        }
        return prepareMessage;
    }
}
