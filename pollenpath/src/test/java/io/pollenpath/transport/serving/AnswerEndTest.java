package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what the end of an answer tells of the answer. */
class AnswerEndTest {

    private static final String LETTER = "The letter that was asked for. ";
    private static final String SECOND =
            "HTTP/1.1 500 Status\r\nKeep-Alive: timeout=30\r\nContent-Length: 4\r\n\r\noops";
    private static final int VERSION_BYTES = "HTTP/1.".length();
    private static final int HEAD_BYTES = SECOND.length() - 4;

    /** The end of a body that came as one piece. */
    private static AnswerEnd endOf(AnswerFraming framing, String body, String behind) {
        return end(framing, body, "", behind);
    }

    /** The end of a body whose second piece came late. */
    private static AnswerEnd end(
            AnswerFraming framing, String first, String second, String behind) {
        BodyBuffer body = new BodyBuffer();
        body.append(bytes(first));
        body.append(bytes(second));
        BodyHeads heads = BodyHeads.in(body.toByteArray(), "carried"::equals);
        return AnswerEnd.of(framing, body, heads, bytes(behind));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Guards against an answer that is filled up by the first bytes of a second one. */
    @Test
    void aHeadThatGoesOnBehindTheEndIsOfASecondAnswer() {
        for (int filled = 1; filled < SECOND.length(); filled++) {
            String body = LETTER + SECOND.substring(0, filled);
            assertWithMessage("filled by " + filled)
                    .that(endOf(AnswerFraming.LENGTH, body, SECOND.substring(filled)))
                    .isEqualTo(AnswerEnd.FILLED);
        }
    }

    /** Guards against a second answer whose lines end with a line feed only. */
    @Test
    void aSecondAnswerMayHavePlainLineFeeds() {
        String second = SECOND.replace("\r\n", "\n");
        for (int filled = 1; filled < second.length(); filled++) {
            String body = LETTER + second.substring(0, filled);
            assertWithMessage("filled by " + filled)
                    .that(endOf(AnswerFraming.LENGTH, body, second.substring(filled)))
                    .isEqualTo(AnswerEnd.FILLED);
        }
    }

    /** Guards against a second answer that is taken for text because of the words of its status. */
    @Test
    void aStatusMayHaveAnyWords() {
        String second = "HTTP/1.1 500 Oops, \"really\"!\r\nA: b\r\n\r\noops";
        for (int filled = 1; filled < second.length(); filled++) {
            String body = LETTER + second.substring(0, filled);
            assertWithMessage("filled by " + filled)
                    .that(endOf(AnswerFraming.LENGTH, body, second.substring(filled)))
                    .isEqualTo(AnswerEnd.FILLED);
        }
    }

    /** Guards against a quoted head, cut anywhere, that hides where a second answer begins. */
    @Test
    void aSecondAnswerMayFollowAHeadThatIsQuoted() {
        String quoted = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nLonger: text b\r\n\r\n";
        for (int cut = 1; cut <= quoted.length(); cut++) {
            for (int filled = 1; filled < HEAD_BYTES; filled++) {
                String body = LETTER + quoted.substring(0, cut) + SECOND.substring(0, filled);
                assertWithMessage(body)
                        .that(endOf(AnswerFraming.LENGTH, body, SECOND.substring(filled)))
                        .isEqualTo(AnswerEnd.FILLED);
            }
        }
    }

    /** Guards against a quoted head, cut anywhere, behind which a second answer begins unseen. */
    @Test
    void aQuotedHeadHidesNoSecondAnswerOfWhichMoreIsToCome() {
        String quoted = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nA: b\r\n\r\n";
        for (int cut = 1; cut <= quoted.length(); cut++) {
            for (int filled = 1; filled < HEAD_BYTES - 4; filled++) {
                for (int end : new int[] {filled, filled + 1, filled + 3}) {
                    String first = LETTER + quoted.substring(0, cut);
                    String second = SECOND.substring(0, filled);
                    String behind = SECOND.substring(filled, end);
                    AnswerEnd told = end(AnswerFraming.LENGTH, first, second, behind);
                    assertWithMessage(first + second + "|" + behind)
                            .that(told)
                            .isNotEqualTo(AnswerEnd.OWN);
                }
            }
        }
    }

    /** Guards against an answer that is passed on before the rest of a second one comes. */
    @Test
    void aSecondAnswerMayComeByteByByte() {
        for (int filled = 1; filled <= HEAD_BYTES - 4; filled++) {
            String second = SECOND.substring(0, filled);
            for (int end = filled; end <= HEAD_BYTES - 3; end++) {
                String behind = SECOND.substring(filled, end);
                AnswerEnd told = end(AnswerFraming.LENGTH, LETTER, second, behind);
                assertWithMessage(second + "|" + behind).that(told).isNotEqualTo(AnswerEnd.OWN);
            }
        }
    }

    /** Guards against an interim answer that hides where a second answer begins. */
    @Test
    void anInterimAnswerMayComeBeforeTheSecond() {
        String interim = "HTTP/1.1 100 Continue\r\n\r\n";
        for (int filled = 1; filled < interim.length() + HEAD_BYTES; filled++) {
            String all = interim + SECOND;
            String body = LETTER + all.substring(0, filled);
            assertWithMessage("filled by " + filled)
                    .that(endOf(AnswerFraming.LENGTH, body, all.substring(filled)))
                    .isEqualTo(AnswerEnd.FILLED);
        }
    }

    /** Guards against an answer without a length that is followed by a cut one. */
    @Test
    void aCutSecondAnswerMayFollowAnAnswerWithoutALength() {
        for (int cut = 1; cut <= SECOND.length(); cut++) {
            String second = SECOND.substring(0, cut);
            AnswerEnd expected = cut < VERSION_BYTES ? AnswerEnd.UNCLEAR : AnswerEnd.FILLED;
            assertWithMessage("cut after " + cut)
                    .that(end(AnswerFraming.CLOSE, LETTER, second, ""))
                    .isEqualTo(expected);
        }
        assertThat(endOf(AnswerFraming.CLOSE, LETTER + "HTTP/1.1 5", ""))
                .isEqualTo(AnswerEnd.FILLED);
    }

    /** Guards against a body that holds the answer to an earlier request of its connection. */
    @Test
    void aHeadThatNamesARequestOfTheConnectionIsOfASecondAnswer() {
        String body = LETTER + "HTTP/1.1 200 Status\r\nRequest-Id: carried\r\nA: b";
        for (AnswerFraming framing : AnswerFraming.values()) {
            assertThat(endOf(framing, body, "")).isEqualTo(AnswerEnd.FILLED);
        }
    }

    /** Guards against a sound answer that is refused or waits because of its text. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP",
                "We speak HTTP/1.1",
                "HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody",
                "HTTP/1.1 500 Status\r\nRequest-Id: other\r\n\r\n\r\n",
                "HTTP/1.1 500 Status\nand some text",
                "THE END OF THE PATH"
            })
    void textMayShowAnAnswer(String text) {
        String body = LETTER + text;
        assertThat(endOf(AnswerFraming.LENGTH, body, "")).isEqualTo(AnswerEnd.OWN);
        assertThat(endOf(AnswerFraming.LENGTH, body, SECOND)).isEqualTo(AnswerEnd.OWN);
        assertThat(endOf(AnswerFraming.CHUNKS, body, "")).isEqualTo(AnswerEnd.OWN);
        assertThat(endOf(AnswerFraming.CHUNKS, body, SECOND)).isEqualTo(AnswerEnd.OWN);
    }

    /** Guards against a sound answer that waits since its body begins like an answer. */
    @Test
    void textMayBeginLikeAnAnswer() {
        String body = "HTTP/1.1 200 OK\r\nA: b\r\n\r\nAnd more.";
        assertThat(endOf(AnswerFraming.LENGTH, body, "")).isEqualTo(AnswerEnd.OWN);
        assertThat(endOf(AnswerFraming.LENGTH, "Hello.\n\nHello", "")).isEqualTo(AnswerEnd.OWN);
        assertThat(endOf(AnswerFraming.CLOSE, "Hello.\n\nHello", "")).isEqualTo(AnswerEnd.OWN);
    }

    /** Guards against a sound answer that is refused since it ends with a status. */
    @Test
    void textMayEndWithAStatus() {
        String body = LETTER + "HTTP/1.1 200 OK";
        assertThat(endOf(AnswerFraming.LENGTH, body, "")).isEqualTo(AnswerEnd.UNCLEAR);
        assertThat(endOf(AnswerFraming.LENGTH, body, SECOND)).isEqualTo(AnswerEnd.OWN);
        assertThat(endOf(AnswerFraming.CHUNKS, body, "")).isEqualTo(AnswerEnd.OWN);
    }

    /** Guards against an answer that bytes of no answer have filled up, whatever they are. */
    @ParameterizedTest
    @ValueSource(strings = {"oops", "HTTP/2.0 200 OK", "<html>", "\0\0", "\r\n", "x"})
    void bytesThatAreNoAnswerShowThatALengthProvesNothing(String behind) {
        for (String text : List.of("", "PATH", "HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody")) {
            assertThat(endOf(AnswerFraming.LENGTH, LETTER + text, behind))
                    .isEqualTo(AnswerEnd.FILLED);
        }
    }

    /** Guards against a quoted head that hides the begin of an answer which fills up the body. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "It was answered HTTP/1.1 200HT",
                "It was answered HTTP/1.1 200HTTP",
                "It was answered HTTP/1.1 200HTTP/1.1",
                "It was answered HTTP/1.1 200HTTP/1.1 ",
                "It was answered HTTP/1.1 ",
                "It was answered HTTP/2.0 "
            })
    void theBeginOfAnAnswerAtTheEndIsAwaited(String body) {
        assertThat(endOf(AnswerFraming.LENGTH, body, "")).isEqualTo(AnswerEnd.AWAITED);
        assertThat(endOf(AnswerFraming.LENGTH, body, "500 Status\r\n")).isEqualTo(AnswerEnd.FILLED);
        assertThat(AnswerEnd.AWAITED.isOwn()).isTrue();
    }

    /** Guards against a sound answer that is refused though its end is shown otherwise. */
    @ParameterizedTest
    @ValueSource(strings = {"oops", "HTTP/2.0 200 OK", "\0\0\0"})
    void bytesThatAreNoAnswerMayComeBehindAnEndThatIsShown(String behind) {
        assertThat(endOf(AnswerFraming.CHUNKS, LETTER, behind)).isEqualTo(AnswerEnd.OWN);
        assertThat(endOf(AnswerFraming.LENGTH, "", behind)).isEqualTo(AnswerEnd.OWN);
    }

    /** Guards against an answer that is passed on though what is behind it may be anything yet. */
    @Test
    void theBeginOfAVersionBehindAnAnswerIsUnclear() {
        assertThat(endOf(AnswerFraming.LENGTH, LETTER, "HTTP/")).isEqualTo(AnswerEnd.UNCLEAR);
        assertThat(endOf(AnswerFraming.LENGTH, LETTER, "HTTP/1.")).isEqualTo(AnswerEnd.OWN);
    }

    /** Guards against a body that is filled up by broken heads, of which one more is behind it. */
    @Test
    void aBodyWithHeadsIsFilledUpIfABrokenHeadIsBehind() {
        String broken = "HTTP/1.1 2000 OK\r\nRequest-Id: other\r\n\r\noops";
        for (int length = 1; length < broken.length(); length++) {
            String behind = broken.substring(0, length);
            boolean shown = behind.startsWith("HTTP/1.1 2000");
            assertThat(endOf(AnswerFraming.LENGTH, LETTER + broken, behind))
                    .isEqualTo(shown ? AnswerEnd.FILLED : AnswerEnd.UNCLEAR);
        }
        for (int length = 1; length < SECOND.length(); length++) {
            assertThat(endOf(AnswerFraming.LENGTH, LETTER + broken, SECOND.substring(0, length)))
                    .isEqualTo(length < HEAD_BYTES ? AnswerEnd.UNCLEAR : AnswerEnd.OWN);
        }
    }

    /** Guards against a quoted head that hides the begin of a second answer. */
    @Test
    void aBodyThatQuotesAHeadMayBeFilledToo() {
        String quote = LETTER + "HTTP/1.1 200 OK\r\nA: b\r\nC: d";
        for (int filled = 1; filled < SECOND.length(); filled++) {
            String body = quote + SECOND.substring(0, filled);
            assertWithMessage("filled by " + filled)
                    .that(endOf(AnswerFraming.LENGTH, body, SECOND.substring(filled)))
                    .isEqualTo(AnswerEnd.FILLED);
        }
    }

    /**
     * Guards against a sound answer that waits or is refused since its last line names a status.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"seen\": \"HTTP/1.1 404 Not Found\"}",
                "HTTP/1.1 404 Not Found</p>",
                "It said HTTP/1.1 500, and a day later that all was well."
            })
    void theLastLineMayNameAStatus(String text) {
        String body = LETTER + text;
        assertThat(endOf(AnswerFraming.LENGTH, body, "")).isEqualTo(AnswerEnd.OWN);
        assertThat(endOf(AnswerFraming.CLOSE, body, "")).isEqualTo(AnswerEnd.OWN);
    }
}
