package io.pollenpath.transport.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.ArrayList;
import java.util.List;

/** What of a request may crash the servers that work on it, computed when it is first asked for. */
final class RequestSuspects {

    private final RequestContext context;
    private CrashSuspect request;
    private CrashSuspect content;
    private List<CrashSuspect> shared;

    RequestSuspects(RequestContext context) {
        this.context = context;
    }

    /** Returns what identifies all attempts of the request. */
    CrashSuspect request() {
        if (request == null) {
            request = context.requestSuspect();
        }
        return request;
    }

    /** Returns what identifies all requests with the same content. */
    CrashSuspect content() {
        if (content == null) {
            content = context.contentSuspect();
        }
        return content;
    }

    /** Returns what the request shares with others. */
    List<CrashSuspect> shared() {
        if (shared == null) {
            shared = context.sharedSuspects();
        }
        return shared;
    }

    /** Returns the request and all that it shares with others. */
    List<CrashSuspect> all() {
        List<CrashSuspect> all = new ArrayList<>(shared());
        all.add(request());
        return all;
    }
}
