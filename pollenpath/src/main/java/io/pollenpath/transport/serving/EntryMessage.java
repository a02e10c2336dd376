package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.TrialClaim;
import java.util.Objects;
import java.util.Optional;

/**
 * A message to an entry, from another one or from the agent beside a server.
 *
 * @param knowledge what the sender knows, not null
 * @param claim the trial that the receiver is asked to agree to; empty in replies, not null
 * @param agreed whether the sender of a reply agrees to the trial that it was asked about
 */
record EntryMessage(EntryKnowledge.Report knowledge, Optional<TrialClaim> claim, boolean agreed) {

    EntryMessage {
        Objects.requireNonNull(knowledge, "knowledge");
        Objects.requireNonNull(claim, "claim");
    }
}
