package io.pollenpath.transport.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.ArrayList;
import java.util.List;

/** What of a request may crash the servers that work on it, computed when it is first asked for. */
final class RequestSuspects {

    private final RequestContext context;
    private CrashSuspect request;
    private CrashSuspect content;
    private CrashSuspect path;
    private List<CrashSuspect> ofPrompt;

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

    /** Returns what identifies all requests to the same path. */
    CrashSuspect path() {
        if (path == null) {
            path = context.pathSuspect();
        }
        return path;
    }

    /** Returns the request and its content, whoever sends it. */
    List<CrashSuspect> whole() {
        return List.of(request(), content());
    }

    /**
     * Returns what may have crashed a server. If its answer went on after the first event, it has
     * worked on all parts of the prompt before.
     */
    List<CrashSuspect> ofCrash(boolean answerWentOn) {
        return answerWentOn ? whole() : all();
    }

    /** Returns what the request shares with different ones because of its prompt. */
    List<CrashSuspect> ofPrompt() {
        if (ofPrompt == null) {
            ofPrompt = context.promptSuspects();
        }
        return ofPrompt;
    }

    /** Returns all of these. */
    List<CrashSuspect> all() {
        List<CrashSuspect> all = new ArrayList<>(ofPrompt());
        all.add(path());
        all.addAll(whole());
        return all;
    }
}
