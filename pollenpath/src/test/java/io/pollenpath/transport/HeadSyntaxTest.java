package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which heads are sound, each byte by itself and all bytes at once. */
class HeadSyntaxTest {

    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

    /** Returns whether a head is sound, in one piece as in pieces of one byte. */
    private static boolean isSound(String text) {
        return isSound(HeadSyntax::ofAnswer, text);
    }

    private static boolean isSound(Supplier<HeadSyntax> judge, String text) {
        ByteBuf bytes = Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1));
        HeadSyntax whole = judge.get();
        whole.follow(bytes, 0, bytes.writerIndex());
        HeadSyntax pieces = judge.get();
        for (int at = 0; at < bytes.writerIndex(); at++) {
            pieces.follow(bytes, at, at + 1);
        }
        assertThat(pieces.isSound()).isEqualTo(whole.isSound());
        return whole.isSound();
    }

    @Test
    void justTheStatusesOfTheGrammarAreSound() {
        for (int status = 0; status < 10_000; status++) {
            boolean known = status >= 100 && status <= 599;
            assertThat(isSound("HTTP/1.1 " + status + " Status\r\n")).isEqualTo(known);
            assertThat(isSound("HTTP/1.0 " + status + "\r\n")).isEqualTo(known);
            assertThat(isSound("HTTP/1.1 0" + status + " \r\n")).isFalse();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 \r\n",
                "HTTP/1.1 200\r\n",
                "HTTP/1.1 200 OK\n",
                "HTTP/1.1 200 Not\tOK: \u00e9\u00ff \r\n",
                "HTTP/1.0 599 x"
            })
    void aStatusLineOfTheGrammarIsSound(String line) {
        assertThat(isSound(line)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\nHTTP/1.1 200 OK",
                " HTTP/1.1 200 OK",
                "http/1.1 200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/1.2 200 OK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1 200\tOK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 000",
                "HTTP/1.1 2 0 0",
                "HTTP/1.1 200 O\rK",
                "HTTP/1.1 200 O\u0000K",
                "HTTP/1.1 200 O\u007fK"
            })
    void aStatusLineThatTheGrammarDoesNotKnowIsFlawed(String line) {
        assertThat(isSound(line)).isFalse();
    }

    private static boolean isSoundField(String line) {
        return isSound(STATUS_LINE + line + "\r\nX: a\r\n\r\n");
    }

    /** The grammar knows 77 bytes that may stand in a name, all of them below 0x7f. */
    @Test
    void justTheNamesOfTheGrammarAreSound() {
        int known = 0;
        for (char octet = 0; octet <= 0xff; octet++) {
            boolean begins = octet != '\n' && isSoundField(octet + ": a");
            boolean goesOn = octet != ':' && isSoundField("X" + octet + "Y: a");
            assertThat(begins).isEqualTo(goesOn);
            known += begins ? 1 : 0;
        }
        assertThat(known).isEqualTo(77);
        assertThat(isSoundField("AZaz09!#$%&'*+-.^_`|~: a")).isTrue();
        assertThat(isSoundField("\"(),/;<=>?@[]{}: a")).isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"X:", "X: ", "X:a", "X:\ta: b\tc ", "X: \u00e9\u0080\u00ff", "X: a\r\nX: b"})
    void aFieldOfTheGrammarIsSound(String line) {
        assertThat(isSoundField(line)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                " X: a",
                "X : a",
                "X\t: a",
                "X Y: a",
                "X",
                ": a",
                "X: a\r\n folded",
                "X: a\r\n\tfolded",
                "X: a\rb",
                "Content-Length: 5\r\nX: a\r\ncontent-length: 5",
                "X: a\u0000",
                "X: a\u0001",
                "X: a\u007f"
            })
    void aFieldThatTheGrammarDoesNotKnowIsFlawed(String line) {
        assertThat(isSoundField(line)).isFalse();
    }

    @Test
    void oneLengthIsSound() {
        assertThat(isSoundField("Content-Length: 5\r\nContent-Lengths: 5\r\nContent: 5")).isTrue();
    }

    /** Guards against a body that is judged as if it belonged to the head. */
    @Test
    void whatFollowsTheEmptyLineIsNotJudged() {
        assertThat(isSound(STATUS_LINE + "X: a\r\n\r\n bo\rdy\u0000")).isTrue();
        assertThat(isSound(STATUS_LINE + "X: a\n\n body")).isTrue();
        assertThat(isSound(STATUS_LINE + "\r body")).isFalse();
    }

    @Test
    void trailersAreFieldsUpToAnEmptyLine() {
        assertThat(isSound(HeadSyntax::ofTrailers, "\r\n")).isTrue();
        assertThat(isSound(HeadSyntax::ofTrailers, "X: a\r\nY:\n\n rest")).isTrue();
        assertThat(isSound(HeadSyntax::ofTrailers, "X Y: a\r\n")).isFalse();
        assertThat(isSound(HeadSyntax::ofTrailers, STATUS_LINE)).isFalse();
    }

    @Test
    void theFirstByteThatMustNotStandThereIsEnough() {
        assertThat(isSound("HTTP/1.1 ")).isTrue();
        assertThat(isSound("HTTP/1.1 0")).isFalse();
    }
}
