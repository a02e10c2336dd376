package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.coordination.serving.SendOutcome;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests what counts as a part of an answer, and what its end tells. */
class ServerAnswerTest {

    private final ServerAnswer answer = new ServerAnswer("r-1"::equals);

    private List<EventSplitter.Event> add(String text) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Content-Type", "text/event-stream");
        answer.onHead(WireDialect.ReplyKind.ANSWER, headers, true);
        return answer.addEvents(text.getBytes(StandardCharsets.UTF_8), new TestDialect(), 0);
    }

    /** Guards against a sound stream that is cut because of a field that is not known here. */
    @Test
    void forwardsEventsWithOtherFields() {
        assertThat(add("id: 1\nother: x\ndata: a\n\n")).hasSize(1);
        assertThat(answer.flaw().isPresent()).isFalse();
    }

    /** Guards against a sound stream that is cut because its text shows an answer. */
    @Test
    void forwardsTextThatShowsAHead() {
        assertThat(add("id: 1\ndata: HTTP/1.1 200 OK\ndata: A: b\n\n")).hasSize(1);
        assertThat(answer.flaw().isPresent()).isFalse();
    }

    /** Guards against a stream that another run goes on with though its last event is spoilt. */
    @Test
    void eventsBeforeOtherBytesMayHoldSomeOfThem() {
        assertThat(add("id: 1\ndata: aThe server has failed.\n\n<p>\n\n")).hasSize(1);
        assertThat(answer.outcomeOfFlaw()).isEqualTo(SendOutcome.UNKNOWN);
        answer.countEvent();
        assertThat(answer.outcomeOfFlaw()).isEqualTo(SendOutcome.SPOILT);
    }

    /** Guards against a stream that is broken off though a head shows where other bytes begin. */
    @Test
    void eventsBeforeAHeadAreTheServers() {
        String head = "HTTP/1.1 500 Status\r\nRequest-Id: a\r\n\r\n";
        assertThat(add("id: 1\ndata: a\n\nid: 2\ndata: b" + head)).hasSize(1);
        answer.countEvent();
        assertThat(answer.outcomeOfFlaw()).isEqualTo(SendOutcome.UNKNOWN);
    }

    /** Guards against text that is passed on as an event if nothing else shows whose it is. */
    @Test
    void aLineThatIsNoFieldIsNoEvent() {
        assertThat(add("id: 1\ndata: a\n\noops\n\n")).hasSize(1);
        assertThat(answer.flaw().isPresent()).isTrue();
    }

    @Test
    void endsBeforeAHeadAlsoWithinAnEvent() {
        String head = "HTTP/1.1 500 Status\r\nRequest-Id: a\r\n\r\n";
        assertThat(add("id: 1\ndata: a\n\nid: 2\ndata: b" + head)).hasSize(1);
        assertThat(answer.flaw().isPresent()).isTrue();
    }

    private WireDialect.ReplyKind kindAtEnd(String body) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Content-Length", body.length());
        answer.onHead(WireDialect.ReplyKind.ANSWER, headers, false);
        answer.addBody(body.getBytes(StandardCharsets.UTF_8), 0);
        return answer.kindAtEnd(new byte[0]);
    }

    /** Guards against a body that goes on with a second answer where the first one stopped. */
    @Test
    void aLengthMayHideASecondAnswer() {
        assertThat(kindAtEnd("lettHTTP/1.1 500 Status\r\nRequest-Id: r-1\r\nKeep-Al"))
                .isEqualTo(WireDialect.ReplyKind.UNPROVEN);
    }

    /** Guards against a sound answer that is refused because its text shows another one. */
    @Test
    void aBodyMayShowAnswersToOtherRequests() {
        String shown = "HTTP/1.1 200 OK\r\nRequest-Id: r-2\r\n\r\nr-1: HTTP/1.1 200 OK\r\nr-1\r\n";
        assertThat(kindAtEnd(shown)).isEqualTo(WireDialect.ReplyKind.ANSWER);
    }

    /** Guards against a large body that is searched again for each byte that comes behind it. */
    @Test
    void aBodyIsSearchedOnce() {
        AtomicInteger fields = new AtomicInteger();
        ServerAnswer searched = new ServerAnswer(id -> fields.incrementAndGet() < 0);
        String body = "HTTP/1.1 200 OK\r\nA: b\r\n\r\nHTTP/1.1 5";
        HttpHeaders headers = new DefaultHttpHeaders().set("Content-Length", body.length());
        searched.onHead(WireDialect.ReplyKind.ANSWER, headers, false);
        searched.addBody(body.getBytes(StandardCharsets.UTF_8), 0);
        assertThat(searched.end(new byte[0])).isEqualTo(AnswerEnd.UNCLEAR);
        int fieldsOfAllForms = fields.get();
        assertThat(searched.end(new byte[] {'H'})).isEqualTo(AnswerEnd.UNCLEAR);
        assertThat(searched.end(new byte[] {'0'})).isEqualTo(AnswerEnd.FILLED);
        assertThat(fields.get()).isEqualTo(fieldsOfAllForms);
        assertThat(fieldsOfAllForms).isEqualTo(2);
    }

    /** Guards against an interim answer that is passed on since it came with other bytes. */
    @Test
    void anInterimAnswerMayComeInOnePieceWithAnEvent() {
        String interim = "HTTP/1.1 100 Continue\r\n\r\n";
        assertThat(add("id: 1\ndata: a\n\nid: 2\ndata: b" + interim)).hasSize(1);
        assertThat(answer.end(new byte[0])).isEqualTo(AnswerEnd.FILLED);
        assertThat(add("HTTP/1.1 500 Status\r\nRequest-Id: a\r\n\r\n")).isEmpty();
        assertThat(answer.flaw().isPresent()).isTrue();
    }

    /** Guards against a sound stream that is cut because its text shows an interim answer. */
    @Test
    void forwardsTextThatShowsAnInterimAnswer() {
        String first = "id: 1\ndata: HTTP/1.1 100 Continue\n\n";
        String second = "id: 2\r\ndata: HTTP/1.1 100 Continue\r\n\r\n";
        assertThat(add(first + second + "id: 3\ndata: c\n\n")).hasSize(3);
        assertThat(answer.flaw().isPresent()).isFalse();
    }

    /** Guards against a sound stream that is cut because of a field before text with a head. */
    @Test
    void forwardsTextThatShowsAHeadBehindAnotherField() {
        assertThat(add("id: 1\nother: x\ndata: HTTP/1.1 200 OK\ndata: A: b\n\n")).hasSize(1);
        assertThat(answer.flaw().isPresent()).isFalse();
    }
}
