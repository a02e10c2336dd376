package io.pollenpath.standin.platform;

/**
 * The answers of an engine to queries and commands, as the only rank of a group whose expert map is
 * not changing.
 */
final class ControlAnswers {

    private static final String PREFIX = "/api/";

    private ControlAnswers() {}

    /** Returns whether a path is that of a query or command. */
    static boolean isControlCall(String path) {
        return path.startsWith(PREFIX);
    }

    /** Returns the JSON body of the answer of an engine that started at a time. */
    static String of(String path, long bornMs) {
        if (path.startsWith(PREFIX + "report")) {
            return "{\"group\":{\"Name\":\"g0\",\"epoch\":1,\"rank\":0,\"State\":\"open\"},"
                    + "\"size\":1,\"Busy\":false,\"step\":3,\"Map\":0,\"born\":"
                    + bornMs
                    + "}";
        }
        return path.contains("Lists")
                ? "{\"epoch\":1,\"Map\":{\"Version\":0,\"Experts\":[[0,1]]}}"
                : "{\"step\":3,\"epoch\":1,\"Counts\":[700,300]}";
    }
}
