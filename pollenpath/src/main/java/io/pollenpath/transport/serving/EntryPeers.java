package io.pollenpath.transport.serving;

import io.netty.channel.EventLoop;
import io.pollenpath.coordination.serving.EntryCatchUp;
import io.pollenpath.coordination.serving.TrialClaim;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpReply;
import io.pollenpath.util.LogLine;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges what entries know about servers directly between them, so that it spreads also while
 * the store is away. An entry calls each other entry once when it learns of it, and after each
 * change of what it knows itself, with retries until the other has answered; the answer carries
 * what the other entry knows. What it learned from another entry it passes on to a few. A call may
 * also ask for a vote, which is not retried. All calls are made on one event loop.
 */
final class EntryPeers implements TrialVoters {

    private static final Logger LOG = LoggerFactory.getLogger(EntryPeers.class);
    private static final Map<String, String> HEADERS =
            Map.of("Content-Type", EntryServer.MEDIA_TYPE);
    private static final int STATUS_OK = 200;
    private static final long CALL_TIMEOUT_MS = 400;
    private static final long MIN_RETRY_MS = 100;
    private static final long MAX_RETRY_MS = 2_000;

    /** The number of entries to which this one passes on what another one told. */
    private static final int RELAYS = 3;

    private final EventLoop loop;
    private final HttpClient http;
    private final EntryKnowledge knowledge;
    private final EntryCatchUp catchUp;
    private final Map<String, Peer> peers = new HashMap<>();
    private long version;

    /** Another entry, and the versions of the local knowledge that it should have and has. */
    private static final class Peer {

        private final String address;
        private long wantedVersion;
        private long acknowledgedVersion = -1;
        private boolean inProgress;
        private boolean retryScheduled;
        private long retryMs = MIN_RETRY_MS;

        private Peer(String address) {
            this.address = address;
        }
    }

    EntryPeers(EventLoop loop, HttpClient http, EntryKnowledge knowledge, EntryCatchUp catchUp) {
        this.loop = loop;
        this.http = http;
        this.knowledge = knowledge;
        this.catchUp = catchUp;
    }

    /** Replaces the addresses of the other entries. */
    void setAddresses(Set<String> addresses) {
        peers.keySet().retainAll(addresses);
        catchUp.onEntries(addresses);
        for (String address : addresses) {
            call(peers.computeIfAbsent(address, Peer::new));
        }
    }

    /** Hears again what each other entry knows. */
    void hearAll() {
        for (Peer peer : List.copyOf(peers.values())) {
            peer.acknowledgedVersion = -1;
            call(peer);
        }
    }

    /** Tells the other entries that this one has learned something. */
    void onChange() {
        version++;
        callEach(List.copyOf(peers.values()));
    }

    /** Passes on to some other entries what this one has learned from another. */
    void onLearned() {
        version++;
        List<Peer> others = new ArrayList<>(peers.values());
        Collections.shuffle(others);
        callEach(others.subList(0, Math.min(RELAYS, others.size())));
    }

    private void callEach(List<Peer> told) {
        for (Peer peer : told) {
            peer.wantedVersion = version;
            call(peer);
        }
    }

    private void call(Peer peer) {
        boolean removed = peers.get(peer.address) != peer;
        boolean busy = peer.inProgress || peer.retryScheduled;
        if (removed || busy || peer.acknowledgedVersion >= peer.wantedVersion) {
            return;
        }
        peer.inProgress = true;
        long sentVersion = version;
        onCompletion(
                send(peer, message(Optional.empty(), false)),
                (answer, failure) -> onReply(peer, sentVersion, failure));
    }

    /** Merges the answer to a call; one that can't be merged counts as one that did not come. */
    private void onCompletion(
            CompletableFuture<EntryMessage> call, BiConsumer<EntryMessage, Throwable> handler) {
        call.thenApplyAsync(this::merged, loop)
                .handleAsync(
                        (answer, failure) -> {
                            handler.accept(answer, failure);
                            return null;
                        },
                        loop)
                .exceptionally(EntryPeers::logUnexpected);
    }

    private EntryMessage merged(EntryMessage answer) {
        try {
            merge(answer);
            return answer;
        } catch (RuntimeException | Error e) {
            logUnexpected(e);
            throw e;
        }
    }

    private static Object logUnexpected(Throwable failure) {
        LOG.error("{}", LogLine.event("entry_reply_failed").with("cause", failure));
        return null;
    }

    private CompletableFuture<EntryMessage> send(Peer peer, byte[] body) {
        HttpClient.Request request =
                new HttpClient.Request(
                        HttpAddress.parse(peer.address), "POST", EntryServer.PATH, HEADERS, body);
        return http.send(request)
                .orTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .thenApply(EntryPeers::readReply);
    }

    private static EntryMessage readReply(HttpReply reply) {
        if (reply.status() != STATUS_OK) {
            throw new IllegalStateException("answered with status " + reply.status());
        }
        return EntryMessages.decode(reply.body());
    }

    private void onReply(Peer peer, long sentVersion, Throwable failure) {
        peer.inProgress = false;
        onCalled(peer, failure == null);
        if (failure != null) {
            logFailure(peer, failure);
            scheduleRetry(peer);
            return;
        }
        peer.acknowledgedVersion = sentVersion;
        peer.retryMs = MIN_RETRY_MS;
        call(peer);
    }

    private void onCalled(Peer peer, boolean success) {
        if (catchUp.onCalled(peer.address, success)) {
            long elapsedMs = catchUp.elapsedMs(System.nanoTime());
            LOG.info(
                    "{}",
                    LogLine.event("entries_heard")
                            .with("others", catchUp.others())
                            .with("answered", catchUp.answered())
                            .with("elapsed_ms", elapsedMs));
        }
    }

    private void scheduleRetry(Peer peer) {
        peer.retryScheduled = true;
        loop.schedule(
                () -> {
                    peer.retryScheduled = false;
                    call(peer);
                },
                peer.retryMs,
                TimeUnit.MILLISECONDS);
        peer.retryMs = Math.min(MAX_RETRY_MS, 2 * peer.retryMs);
    }

    private void logFailure(Peer peer, Throwable failure) {
        if (peer.retryMs == MIN_RETRY_MS) {
            LOG.info(
                    "{}",
                    LogLine.event("entry_unreachable")
                            .with("entry", peer.address)
                            .with("cause", failure));
        }
    }

    @Override
    public CompletableFuture<Boolean> ask(TrialClaim claim) {
        byte[] body = message(Optional.of(claim), false);
        MajorityVote vote = new MajorityVote(peers.size());
        for (Peer peer : peers.values()) {
            onCompletion(send(peer, body), (answer, failure) -> onVote(vote, answer, failure));
        }
        return vote.result();
    }

    @Override
    public CompletableFuture<Boolean> tell() {
        byte[] body = message(Optional.empty(), false);
        MajorityVote told = new MajorityVote(peers.size());
        for (Peer peer : peers.values()) {
            onCompletion(send(peer, body), (answer, failure) -> told.onVote(failure == null));
        }
        return told.result();
    }

    private void onVote(MajorityVote vote, EntryMessage answer, Throwable failure) {
        vote.onVote(failure == null && answer.agreed());
    }

    private void merge(EntryMessage message) {
        knowledge.merge(message.knowledge(), System.nanoTime());
    }

    /**
     * Handles a message of another entry.
     *
     * @return the reply; empty if the message is unreadable
     */
    Optional<byte[]> receive(byte[] bytes) {
        try {
            EntryMessage message = EntryMessages.decode(bytes);
            merge(message);
            boolean agreed =
                    message.claim()
                            .map(claim -> knowledge.vote(claim, System.nanoTime()))
                            .orElse(false);
            return Optional.of(message(Optional.empty(), agreed));
        } catch (IllegalArgumentException e) {
            LOG.warn("{}", LogLine.event("entry_message_unreadable").with("cause", e));
            return Optional.empty();
        }
    }

    private byte[] message(Optional<TrialClaim> claim, boolean agreed) {
        return EntryMessages.encode(
                new EntryMessage(knowledge.report(System.nanoTime()), claim, agreed));
    }
}
