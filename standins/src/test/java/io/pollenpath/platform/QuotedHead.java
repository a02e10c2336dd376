package io.pollenpath.platform;

/** Text that looks like the head of an answer, as a sound body may quote it. */
final class QuotedHead {

    private static final int KINDS = 4;

    private QuotedHead() {}

    /** Returns a head of another request: whole, with a body behind it, or cut at any byte. */
    static String of(String requestId) {
        int choice = Math.floorMod(requestId.hashCode(), KINDS * 1_000);
        String head = head(requestId);
        return switch (choice % KINDS) {
            case 0 -> head;
            case 1 -> head + "hello";
            default -> head.substring(0, 1 + choice / KINDS % (head.length() - 1));
        };
    }

    /** Returns such a head as lines of an event. */
    static String asEventLines(String requestId) {
        return "data: " + head(requestId).strip().replace("\r\n", "\ndata: ") + "\n";
    }

    private static String head(String requestId) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: other-than-"
                + requestId
                + "\r\nContent-Length: 5\r\n\r\n";
    }
}
