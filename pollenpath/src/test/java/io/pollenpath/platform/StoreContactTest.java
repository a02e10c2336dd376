package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.coordination.serving.StoreOutage;
import java.io.IOException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;

class StoreContactTest {

    private final Throwable cut = new IOException("cut");
    private final Throwable timeout = new CompletionException(new TimeoutException());

    private final StoreContact contact = new StoreContact(0);

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private StoreOutage outage(long awayMs, long endMs) {
        return new StoreOutage(awayMs, ms(endMs));
    }

    @Test
    void aStoreThatAnswersHasNoOutage() {
        contact.onAnswer(ms(10));
        contact.onAnswer(ms(5_000));
        assertThat(contact.latestOutage()).isEqualTo(StoreOutage.NONE);
    }

    /** Guards against the time that a watch has waited and that counts as an outage. */
    @Test
    void aWatchThatIsCutOffShowsNoMoreThanItsMoment() {
        contact.onAnswer(ms(10));
        contact.onFailure(ms(10), cut, ms(1_400));
        contact.onAnswer(ms(1_505));
        assertThat(contact.latestOutage()).isEqualTo(outage(105, 1_505));
    }

    @Test
    void aCallThatGotNoAnswerCountsFromItsBegin() {
        contact.onAnswer(ms(10));
        contact.onFailure(ms(100), timeout, ms(2_100));
        contact.onFailure(ms(2_200), cut, ms(2_200));
        contact.onAnswer(ms(3_000));
        assertThat(contact.latestOutage()).isEqualTo(outage(2_900, 3_000));
    }

    /** Guards against a call that got no answer while others did. */
    @Test
    void answersToOtherCallsInBetweenShowThatThereWasNone() {
        contact.onAnswer(ms(10));
        contact.onAnswer(ms(1_900));
        contact.onFailure(ms(100), timeout, ms(2_100));
        contact.onAnswer(ms(2_200));
        assertThat(contact.latestOutage()).isEqualTo(outage(300, 2_200));
    }

    /** Guards against an outage that is missed since the store answers for a moment. */
    @Test
    void anOutageGoesOnIfTheStoreAnswersForAMomentOnly() {
        contact.onFailure(ms(1_000), cut, ms(1_000));
        contact.onAnswer(ms(2_500));
        contact.onFailure(ms(2_600), cut, ms(2_600));
        contact.onAnswer(ms(4_000));
        assertThat(contact.latestOutage()).isEqualTo(outage(1_500 + 1_400, 4_000));
    }

    @Test
    void anOutageIsOverWhenTheStoreHasAnsweredForAWhile() {
        contact.onFailure(ms(1_000), cut, ms(1_000));
        contact.onAnswer(ms(2_500));
        contact.onFailure(ms(3_600), cut, ms(3_600));
        contact.onAnswer(ms(3_700));
        assertThat(contact.latestOutage()).isEqualTo(outage(100, 3_700));
    }
}
