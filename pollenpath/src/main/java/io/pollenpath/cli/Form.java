package io.pollenpath.cli;

import io.netty.util.NetUtil;
import io.pollenpath.transport.HttpAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;

/** The format that the text of a setting must have. */
enum Form {
    /** Any text. */
    ANY("any text"),
    /** A name that is valid in identifiers, host names and log lines. */
    NAME("lower-case letters, digits and hyphens, at most 63"),
    /** An IPv4 or IPv6 address. */
    IP("an IP address, such as 127.0.0.1"),
    /** An IPv4 address with a port. */
    ADDRESS("IP:port, such as 127.0.0.1:8080"),
    /** An HTTP or HTTPS URL. */
    URL("an http:// or https:// URL"),
    /** A log level. */
    LOG_LEVEL("one of error, warn, info, debug, trace"),
    /** A file or directory that can be read. */
    READABLE("a file or directory that exists and can be read"),
    /** An output format of printed objects. */
    OUTPUT("yaml or json");

    private static final Pattern NAME_PATTERN =
            Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
    private static final Pattern LEVELS = Pattern.compile("error|warn|info|debug|trace");

    private final String remedy;

    Form(String remedy) {
        this.remedy = remedy;
    }

    boolean accepts(String text) {
        return switch (this) {
            case ANY -> true;
            case NAME -> NAME_PATTERN.matcher(text).matches();
            case IP -> isIp(text);
            case ADDRESS -> isAddress(text);
            case URL -> isUrl(text);
            case LOG_LEVEL -> LEVELS.matcher(text).matches();
            case READABLE -> Files.isReadable(Path.of(text));
            case OUTPUT -> text.equals("yaml") || text.equals("json");
        };
    }

    /** Returns a description of the accepted texts, for messages. */
    String remedy() {
        return remedy;
    }

    private static boolean isIp(String text) {
        return NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text);
    }

    private static boolean isAddress(String text) {
        try {
            return NetUtil.isValidIpV4Address(HttpAddress.parse(text).host());
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static boolean isUrl(String text) {
        try {
            URI uri = URI.create(text);
            boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            return http && uri.getHost() != null;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
