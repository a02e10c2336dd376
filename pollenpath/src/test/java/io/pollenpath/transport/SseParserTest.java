package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SseParserTest {

    private static final byte[] STREAM =
            ": comment\nid: 7\ndata: first\n\ndata: a\ndata: b\r\n\ndata:tight\n\n"
                    .getBytes(StandardCharsets.UTF_8);

    @Property(seed = "1")
    void parsesEventsSplitAtAnyByte(@ForAll @IntRange(min = 1, max = 40) int pieceBytes) {
        List<String> events = new ArrayList<>();
        SseParser parser =
                new SseParser(
                        data -> events.add(new String(data, StandardCharsets.UTF_8)),
                        STREAM.length);
        for (int from = 0; from < STREAM.length; from += pieceBytes) {
            int to = Math.min(STREAM.length, from + pieceBytes);
            parser.feed(Arrays.copyOfRange(STREAM, from, to));
        }
        assertThat(events).containsExactly("first", "a\nb", "tight").inOrder();
    }

    @Test
    void rejectsEventsAboveTheMaximumSize() {
        SseParser parser = new SseParser(data -> {}, 8);
        parser.feed("data: 12\n\n".getBytes(StandardCharsets.UTF_8));
        byte[] large = "data: 123".getBytes(StandardCharsets.UTF_8);
        assertThat(assertThrows(IllegalStateException.class, () -> parser.feed(large)))
                .hasMessageThat()
                .contains("--max-event-bytes");
    }
}
