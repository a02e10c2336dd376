package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class EventSplitterTest {

    private static final String STREAM =
            "weight-versions: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: x\ndata: c\n\ndata: d\n\n";

    /** Half of the least timeout of a route, for which the thread must not be taken. */
    private static final long MAX_ELAPSED_MS = 500;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Property(tries = 200)
    void splitsTheSameEventsForAnyChunking(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] all = bytes(STREAM);
        EventSplitter splitter = new EventSplitter();
        List<EventSplitter.Event> events = new ArrayList<>();
        int from = 0;
        while (from < all.length) {
            int to = Math.min(all.length, from + 1 + random.nextInt(9));
            events.addAll(splitter.add(Arrays.copyOfRange(all, from, to)));
            from = to;
        }
        StringBuilder joined = new StringBuilder();
        events.forEach(e -> joined.append(new String(e.bytes(), StandardCharsets.UTF_8)));
        assertThat(joined.toString()).isEqualTo(STREAM);
        assertThat(events).hasSize(4);
        assertThat(events.get(0).id().getAsLong()).isEqualTo(1);
        assertThat(events.get(1).id().getAsLong()).isEqualTo(2);
        assertThat(events.get(2).id().isPresent()).isFalse();
        assertThat(splitter.hasPartialEvent()).isFalse();
    }

    @Test
    void buffersIncompleteEvents() {
        EventSplitter splitter = new EventSplitter();
        assertThat(splitter.add(bytes("id: 1\ndata"))).isEmpty();
        assertThat(splitter.hasPartialEvent()).isTrue();
        List<EventSplitter.Event> events = splitter.add(bytes(": b\n\n"));
        assertThat(events).hasSize(1);
        assertThat(events.get(0).bytes()).isEqualTo(bytes("id: 1\ndata: b\n\n"));
        assertThat(splitter.hasPartialEvent()).isFalse();
    }

    /**
     * Guards against work that grows with the square of the bytes, which takes the traffic thread.
     */
    @Test
    void looksAtEachByteOfALongLineOnce() {
        EventSplitter splitter = new EventSplitter();
        byte[] piece = bytes("aaaa");
        long startNanos = System.nanoTime();
        for (int i = 0; i < EventSplitter.MAX_EVENT_BYTES / piece.length; i++) {
            assertThat(splitter.add(piece)).isEmpty();
        }
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(elapsedMs).isLessThan(MAX_ELAPSED_MS);
        assertThat(splitter.isTooLong()).isFalse();
        assertThat(splitter.add(bytes("\n\n"))).hasSize(1);
    }

    /** Guards against an event without end that fills the heap. */
    @Test
    void keepsNoMoreThanAnEventMayBeLong() {
        EventSplitter splitter = new EventSplitter();
        splitter.add(bytes("id: 1\n\n"));
        splitter.add(new byte[EventSplitter.MAX_EVENT_BYTES]);
        assertThat(splitter.isTooLong()).isFalse();
        splitter.add(new byte[1]);
        assertThat(splitter.isTooLong()).isTrue();
        assertThat(splitter.add(bytes("\n\n"))).isEmpty();
    }

    /** Guards against an event, and work, for each of many empty lines (review/7). */
    @Test
    void emptyLinesBelongToTheEventBefore() {
        EventSplitter splitter = new EventSplitter();
        List<EventSplitter.Event> events = splitter.add(bytes("data: a\n\n\n\r\n\nid: 2\n\n"));
        assertThat(events).hasSize(2);
        assertThat(events.get(0).bytes()).isEqualTo(bytes("data: a\n\n\n\r\n\n"));
        assertThat(events.get(1).bytes()).isEqualTo(bytes("id: 2\n\n"));
        assertThat(splitter.add(bytes("\n".repeat(10_000)))).hasSize(1);
        assertThat(splitter.hasPartialEvent()).isFalse();
    }

    /** Guards against a server that counts as going on while it says nothing. */
    @Test
    void emptyLinesAndCommentsSayNothing() {
        EventSplitter splitter = new EventSplitter();
        List<EventSplitter.Event> events =
                splitter.add(bytes("\r\n: comment\n:\r\n\nid: 1\n\n: comment\ndata\n\n"));
        assertThat(events.stream().map(EventSplitter.Event::hasFields))
                .containsExactly(false, false, true, true)
                .inOrder();
    }
}
