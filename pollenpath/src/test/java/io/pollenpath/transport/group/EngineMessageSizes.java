package io.pollenpath.transport.group;

import io.pollenpath.state.group.EngineCommand;
import java.util.List;

/** Sizes of the messages of the engines' text API, without HTTP headers. */
final class EngineMessageSizes {

    static final int REPORT_BYTES = 250;

    private static final int BYTES_PER_SLOT = 4;
    private static final int BYTES_PER_RANK = 3;

    private EngineMessageSizes() {}

    /** Returns the size of a command; only a command with a map has one that matters. */
    static int commandBytes(EngineCommand command) {
        if (!(command instanceof EngineCommand.Prepare prepare)) {
            return 0;
        }
        int bytes = 0;
        for (List<List<Integer>> layer : prepare.map().layers()) {
            for (List<Integer> experts : layer) {
                bytes += BYTES_PER_RANK + BYTES_PER_SLOT * experts.size();
            }
        }
        return bytes;
    }
}
