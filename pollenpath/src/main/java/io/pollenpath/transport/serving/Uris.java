package io.pollenpath.transport.serving;

/** Parts of the URIs that callers ask for. */
final class Uris {

    private Uris() {}

    /** Returns the path of a URI, without its query. */
    static String pathOf(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
