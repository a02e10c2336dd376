package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.transport.serving.PlayedConnection.Heard;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests answers that stop anywhere and go on with bytes that are no answer. */
class NoAnswerBytesTest {

    /** Returns the answers that are buffered and whose head tells where they end. */
    private static List<PlayedAnswer> buffered() {
        return PlayedAnswer.all().stream()
                .filter(
                        first ->
                                first.body().equals(PlayedAnswer.TEXT)
                                        && !first.name().equals("no length"))
                .toList();
    }

    /** Returns bytes of several kinds, none of which begins an answer. */
    static Stream<String> bytesOfNoAnswer() {
        return Stream.of(
                        "The server has failed. ",
                        "<html>\n<body>\n<p>It failed.</p>\n\n</body>\n</html>\n",
                        "RTSP/1.0 200 OK\r\nCSeq: 2\r\n\r\n",
                        "\0",
                        "id: 7\ndata: other\n\n")
                .map(text -> text.repeat(1 + 1_000 / text.length()));
    }

    /** Calls a test with each begin of an answer that its server may have written. */
    private static void atEachCut(PlayedAnswer first, Consumer<String> test) {
        for (int cut = first.head().length(); cut < first.bytes().length(); cut++) {
            test.accept(first.bytes().substring(0, cut));
        }
    }

    /** Guards against an answer that is filled up by bytes of any kind, at once or later. */
    @ParameterizedTest
    @MethodSource("bytesOfNoAnswer")
    void bytesThatAreNoAnswerAreNoPartOfTheFirst(String bytes) {
        for (PlayedAnswer first : buffered()) {
            atEachCut(first, begin -> assertTrueTo(first, begin, bytes));
        }
    }

    private static void assertTrueTo(PlayedAnswer first, String begin, String bytes) {
        assertTrueTo(first, List.of(begin + bytes), 2);
        assertTrueTo(first, List.of(begin, bytes), 20);
    }

    private static List<PlayedAnswer> streams(String framing) {
        return PlayedAnswer.all().stream()
                .filter(first -> first.name().matches("events, .*, " + framing))
                .toList();
    }

    /** Guards against a stream of which a chunk is filled up. */
    @ParameterizedTest
    @MethodSource("bytesOfNoAnswer")
    void bytesThatAreNoAnswerAreNoPartOfAChunk(String bytes) {
        for (PlayedAnswer first : streams("chunks")) {
            atEachCut(first, begin -> assertTrueTo(first, begin, bytes));
        }
    }

    /** Guards against a stream that is taken for whole since its length is filled up. */
    @ParameterizedTest
    @MethodSource("bytesOfNoAnswer")
    void aStreamWhoseLengthIsFilledUpIsNotWhole(String bytes) {
        List<String> letters = bytes.chars().mapToObj(Character::toString).toList();
        for (PlayedAnswer first : streams("length")) {
            atEachCut(
                    first,
                    begin -> {
                        assertNotWhole(first, List.of(begin, bytes), 2);
                        List<String> writes = new ArrayList<>(List.of(begin));
                        writes.addAll(letters);
                        assertNotWhole(first, writes, 20);
                    });
        }
    }

    private static void assertNotWhole(PlayedAnswer first, List<String> writes, int pauseMs) {
        Heard heard = PlayedConnection.playWithPauses(first.method(), writes, pauseMs);
        assertWithMessage(first + ": " + writes).that(heard.isSuccess()).isFalse();
    }

    /** Guards against a stream that another run goes on with though its last chunk is spoilt. */
    @Test
    void aChunkThatIsFilledUpToALineEndSpoilsItsStream() {
        String bytes = "data: other\r\n\r\n".repeat(80);
        int spoilt = 0;
        for (PlayedAnswer first : streams("chunks")) {
            for (int cut = first.head().length(); cut < first.bytes().length(); cut++) {
                String begin = first.bytes().substring(0, cut);
                Heard heard = PlayedConnection.play(first.method(), List.of(begin, bytes));
                boolean isTrue = heard.isTrueTo(first.body());
                assertWithMessage(first + ", cut at " + cut)
                        .that(isTrue || heard.isSpoilt())
                        .isTrue();
                spoilt += isTrue ? 0 : 1;
            }
        }
        assertThat(spoilt).isGreaterThan(0);
    }

    /** Guards against a stream without a length that goes on with a page of text. */
    @Test
    void aPageOfTextIsNoPartOfAStream() {
        String page = "<html>\n<body>\n<p>It failed.</p>\n\n</body>\n</html>\n\n";
        for (PlayedAnswer first : streams("no length")) {
            atEachCut(first, begin -> assertTrueTo(first, List.of(begin, page), 2));
        }
    }

    /** Guards against an answer that is filled up in pieces, of which one ends where it ends. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 30})
    void piecesWithPausesAreNoPartOfTheFirst(int pieceBytes) {
        String bytes = "The server has failed. ".repeat(30);
        for (PlayedAnswer first : buffered()) {
            for (int missing = 1; missing <= 2 * pieceBytes; missing++) {
                int cut = first.bytes().length() - missing;
                List<String> writes = new ArrayList<>();
                writes.add(first.bytes().substring(0, cut));
                for (int at = 0; at + pieceBytes <= bytes.length(); at += pieceBytes) {
                    writes.add(bytes.substring(at, at + pieceBytes));
                }
                for (int pauseMs : List.of(20, 280, 480)) {
                    assertTrueTo(first, writes, pauseMs);
                }
            }
        }
    }

    private static void assertTrueTo(PlayedAnswer first, List<String> writes, int pauseMs) {
        Heard heard = PlayedConnection.playWithPauses(first.method(), writes, pauseMs);
        assertWithMessage(first + ", pauses of " + pauseMs + " ms: " + writes)
                .that(heard.isTrueTo(first.body()) || heard.isSpoilt())
                .isTrue();
    }

    /** Guards against a sound answer that is refused, or held for long, since its server pauses. */
    @ParameterizedTest
    @ValueSource(ints = {20, 280, 2_000})
    void aSoundAnswerMayPause(int pauseMs) {
        for (PlayedAnswer first : buffered()) {
            int middle = (first.head().length() + first.bytes().length()) / 2;
            List<String> writes =
                    List.of(first.bytes().substring(0, middle), first.bytes().substring(middle));
            Heard heard = PlayedConnection.playWithPauses(first.method(), writes, pauseMs);
            assertWithMessage(first + ": " + heard.failures()).that(heard.isSuccess()).isTrue();
            assertThat(heard.body()).isEqualTo(first.body());
        }
    }
}
