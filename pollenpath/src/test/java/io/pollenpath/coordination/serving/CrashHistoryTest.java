package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests which requests a history of crashes holds under suspicion. */
class CrashHistoryTest {

    private static final String SERVICE = "drafts";
    private static final CrashSuspect CULPRIT = new CrashSuspect(1, 1);
    private static final CrashSuspect BYSTANDER = new CrashSuspect(2, 2);

    private final CrashHistory history = new CrashHistory();

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private void crash(String server, long atMs, CrashSuspect... suspects) {
        history.recordCrash(server, SERVICE, Set.of(suspects), ms(atMs));
    }

    @Test
    void countsOneCrashOfAServerOnce() {
        crash("a@1", 100, CULPRIT);
        crash("a@1", 101, CULPRIT, BYSTANDER);
        assertThat(history.suspicion(CULPRIT).crashes()).isEqualTo(1);
        assertThat(history.suspicion(BYSTANDER).crashes()).isEqualTo(1);
        assertThat(history.suspicion(CULPRIT).lastEventNanos()).isEqualTo(ms(100));
    }

    @Test
    void blamesTheRequestThatExplainsMostCrashes() {
        crash("a@1", 100, CULPRIT, BYSTANDER);
        crash("b@1", 200, CULPRIT, BYSTANDER);
        crash("c@1", 300, CULPRIT, BYSTANDER);
        crash("d@1", 400, CULPRIT);
        assertThat(history.suspicion(CULPRIT).crashes()).isEqualTo(4);
        assertThat(history.suspicion(BYSTANDER).crashes()).isEqualTo(0);
    }

    @Test
    void countsCrashesInFlightWhateverExplainsThem() {
        crash("a@1", 100, CULPRIT, BYSTANDER);
        crash("b@1", 200, CULPRIT, BYSTANDER);
        crash("c@1", 300, CULPRIT, BYSTANDER);
        crash("d@1", 400, CULPRIT);
        assertThat(history.suspicion(BYSTANDER).inFlightCrashes()).isEqualTo(3);
        history.recordAnswer(BYSTANDER, ms(500));
        assertThat(history.suspicion(BYSTANDER).inFlightCrashes()).isEqualTo(0);
        assertThat(history.suspicion(CULPRIT).inFlightCrashes()).isEqualTo(4);
    }

    @Test
    void blamesBothOfTwoRequestsThatExplainTheSame() {
        crash("a@1", 100, CULPRIT, BYSTANDER);
        crash("b@1", 200, CULPRIT, BYSTANDER);
        crash("c@1", 300, CULPRIT, BYSTANDER);
        assertThat(history.suspicion(CULPRIT).crashes()).isEqualTo(3);
        assertThat(history.suspicion(BYSTANDER).crashes()).isEqualTo(3);
    }

    @Test
    void completeAnswerClearsOfEarlierCrashesOnly() {
        crash("a@1", 100, CULPRIT);
        crash("b@1", 200, CULPRIT);
        assertThat(history.recordAnswer(CULPRIT, ms(300))).isTrue();
        assertThat(history.recordAnswer(BYSTANDER, ms(300))).isFalse();
        assertThat(history.suspicion(CULPRIT).crashes()).isEqualTo(0);
        crash("c@1", 400, CULPRIT);
        assertThat(history.suspicion(CULPRIT).crashes()).isEqualTo(1);
    }

    @Test
    void isContestedOnceAServerOfTheServiceCrashedWithoutTheRequest() {
        crash("a@1", 100, BYSTANDER);
        crash("b@1", 200, CULPRIT);
        crash("c@1", 300, CULPRIT);
        assertThat(history.suspicion(CULPRIT).contested()).isFalse();
        history.recordCrash("x@1", "other", Set.of(BYSTANDER), ms(350));
        assertThat(history.suspicion(CULPRIT).contested()).isFalse();
        crash("d@1", 400, BYSTANDER);
        assertThat(history.suspicion(CULPRIT).contested()).isTrue();
    }

    @Test
    void isContestedWhileAnotherRequestExplainsTheSameCrashes() {
        crash("a@1", 100, CULPRIT, BYSTANDER);
        crash("b@1", 200, CULPRIT, BYSTANDER);
        crash("c@1", 300, CULPRIT, BYSTANDER);
        assertThat(history.suspicion(BYSTANDER).contested()).isTrue();
        assertThat(history.suspicion(CULPRIT).contested()).isTrue();
        crash("d@1", 400, CULPRIT);
        assertThat(history.suspicion(CULPRIT).contested()).isFalse();
        assertThat(history.suspicion(BYSTANDER).crashes()).isEqualTo(0);
    }

    @Test
    void reportsMergeInAnyOrderAndMoreThanOnce() {
        crash("a@1", 1_000, CULPRIT, BYSTANDER);
        crash("b@1", 2_000, CULPRIT);
        history.recordAnswer(BYSTANDER, ms(2_500));
        history.recordTrial(CULPRIT, 7, ms(3_000));
        CrashHistory other = new CrashHistory();
        other.recordCrash("c@1", SERVICE, Set.of(CULPRIT), ms(900));

        CrashReport first = history.report(ms(4_000));
        CrashReport second = other.report(ms(4_000));
        CrashHistory merged = new CrashHistory();
        for (CrashReport report : List.of(second, first, second)) {
            merged.merge(report, ms(4_000));
        }
        history.merge(second, ms(4_000));

        assertThat(merged.suspicion(CULPRIT)).isEqualTo(history.suspicion(CULPRIT));
        assertThat(merged.suspicion(CULPRIT).crashes()).isEqualTo(3);
        assertThat(merged.suspicion(CULPRIT).trials()).isEqualTo(1);
        assertThat(merged.suspicion(CULPRIT).lastEventNanos()).isEqualTo(ms(3_000));
        assertThat(merged.suspicion(BYSTANDER).crashes()).isEqualTo(0);
        assertThat(merged.merge(first, ms(4_000))).isFalse();
    }

    @Test
    void travelTimeOfReportsMovesNoClearance() {
        crash("a@1", 1_000, CULPRIT);
        history.recordAnswer(CULPRIT, ms(1_100));
        CrashHistory other = new CrashHistory();
        for (long atMs = 1_200; atMs < 3_000; atMs += 200) {
            other.merge(history.report(ms(atMs)), ms(atMs + 50));
            assertThat(history.merge(other.report(ms(atMs + 60)), ms(atMs + 110))).isFalse();
        }
        crash("b@1", 1_200, CULPRIT);
        assertThat(history.suspicion(CULPRIT).crashes()).isEqualTo(1);
    }

    @Test
    void forgetsOldCrashesAndKeepsABoundedNumber() {
        crash("a@1", 0, CULPRIT);
        history.expire(ms(CrashHistory.RETENTION_MS + 1));
        assertThat(history.isEmpty()).isTrue();
        for (int i = 0; i <= CrashHistory.MAX_CRASHES; i++) {
            crash("s" + i + "@1", i, CULPRIT);
        }
        assertThat(history.suspicion(CULPRIT).crashes()).isEqualTo(CrashHistory.MAX_CRASHES);
    }

    @Test
    void keepsARequestBlockedThroughMoreCrashesThanItRemembers() {
        crash("a@1", 100, CULPRIT);
        crash("b@1", 200, CULPRIT);
        crash("c@1", 300, CULPRIT);
        for (int i = 0; i < 2 * CrashHistory.MAX_CRASHES; i++) {
            crash("s" + i + "@1", 1_000 + i, new CrashSuspect(9, i));
        }
        assertThat(history.suspicion(CULPRIT).inFlightCrashes()).isEqualTo(3);
        assertThat(history.report(ms(9_000)).crashes()).hasSize(CrashHistory.MAX_CRASHES);
    }

    @Test
    void fullHistoriesStopChangingEachOther() {
        CrashHistory other = new CrashHistory();
        for (int i = 0; i < 2 * CrashHistory.MAX_CRASHES; i++) {
            crash("s" + i + "@1", 1_000 + i, new CrashSuspect(9, i));
            other.recordCrash(
                    "t" + i + "@1", SERVICE, Set.of(new CrashSuspect(8, i)), ms(1_000 + i));
        }
        other.merge(history.report(ms(9_000)), ms(9_000));
        history.merge(other.report(ms(9_000)), ms(9_000));
        other.merge(history.report(ms(9_000)), ms(9_000));
        assertThat(history.merge(other.report(ms(9_000)), ms(9_000))).isFalse();
        assertThat(other.merge(history.report(ms(9_000)), ms(9_000))).isFalse();
    }
}
