package io.pollenpath.transport.entry;

import io.pollenpath.protocol.Problem;
import io.pollenpath.state.Executed;
import io.pollenpath.util.Digests;
import java.util.HexFormat;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Derives the request id of requests with an {@code Idempotency-Key} from customer and key, so that
 * every entry computes the same id.
 */
final class IdempotencyKeys {

    /** The lower-case name of the header with the key. */
    static final String HEADER = "idempotency-key";

    private static final int MAX_LENGTH = 256;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_CONFLICT = 409;
    private static final int RETRY_AFTER_MS = 1_000;
    private static final String ID_PREFIX = "key-";

    private final Set<String> open = ConcurrentHashMap.newKeySet();

    /**
     * Returns the request with the id that its key determines.
     *
     * @param request the request, not null
     * @param key the key of the caller, empty for none
     * @return the request with its new id, or the request itself if it is idempotent or has no key
     * @throws ProblemException if the key is too long
     */
    static CallerRequest identify(CallerRequest request, String key) {
        if (request.kind().repeatable() || key.isEmpty()) {
            return request;
        }
        if (key.length() > MAX_LENGTH) {
            throw new ProblemException(
                    Problem.rejected(
                            STATUS_BAD_REQUEST,
                            "key_too_long",
                            "send an Idempotency-Key of at most " + MAX_LENGTH + " characters"));
        }
        String identity = request.contract().customer() + '\n' + key;
        String content =
                request.target()
                        + '\n'
                        + request.path()
                        + '\n'
                        + HexFormat.of().formatHex(Digests.sha256(request.body()));
        return request.withKey(ID_PREFIX + Digests.sha256Hex(identity), Digests.sha256Hex(content));
    }

    /**
     * Marks the key of a request as in use by this entry.
     *
     * @param request the request, not null
     * @throws ProblemException if this entry already serves a request with the same key
     */
    void open(CallerRequest request) {
        if (request.isKeyed() && !open.add(request.requestId())) {
            throw new ProblemException(
                    new Problem(
                            STATUS_CONFLICT,
                            "in_progress",
                            "a request with this key is being served; retry after it has ended",
                            Executed.UNKNOWN,
                            RETRY_AFTER_MS));
        }
    }

    void close(CallerRequest request) {
        if (request.isKeyed()) {
            open.remove(request.requestId());
        }
    }
}
