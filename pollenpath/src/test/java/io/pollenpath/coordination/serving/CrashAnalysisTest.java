package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests which suspects that several requests share are blocked. */
class CrashAnalysisTest {

    private static final String SERVICE = "drafts";
    private static final CrashSuspect BAD = CrashSuspect.ofPromptPart("bad");
    private static final CrashSuspect GOOD = CrashSuspect.ofPromptPart("good");
    private static final CrashSuspect NEW = CrashSuspect.ofPromptPart("new");
    private static final CrashSuspect PATH = CrashSuspect.ofPath("POST", "a.example", "/x");
    private static final int SERVERS_AT_ONCE = 12;

    private final CrashHistory history = new CrashHistory();
    private int servers;

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private static CrashSuspect request(int number) {
        return new CrashSuspect(1, number);
    }

    private void crash(long atMs, CrashSuspect... suspects) {
        servers++;
        history.recordCrash("server-" + servers + "@1", SERVICE, Set.of(suspects), ms(atMs));
    }

    private boolean isBlocked(CrashSuspect suspect) {
        return history.suspicion(suspect).isBlocked(0);
    }

    @Test
    void blocksPartThatNoAnswerHadAfterThreeCrashesAndNotThoseThatAnswersHad() {
        history.recordAnswer(GOOD, ms(0));
        crash(1_000, BAD, GOOD, request(1));
        crash(5_000, BAD, GOOD, request(2));
        assertThat(isBlocked(BAD)).isFalse();
        crash(9_000, BAD, GOOD, request(3));
        crash(13_000, BAD, GOOD, request(4));
        crash(17_000, BAD, GOOD, request(5));
        assertThat(isBlocked(BAD)).isTrue();
        assertThat(isBlocked(GOOD)).isFalse();
        assertThat(history.suspicion(BAD).contested()).isFalse();
    }

    @Test
    void blocksPartThatAnswersHadOnceItIsTheOnlyExplanationOfFourCrashes() {
        history.recordAnswer(GOOD, ms(0));
        crash(1_000, GOOD, request(1));
        crash(5_000, GOOD, request(2));
        crash(9_000, GOOD, request(3));
        assertThat(isBlocked(GOOD)).isFalse();
        crash(13_000, GOOD, request(4));
        assertThat(isBlocked(GOOD)).isTrue();
    }

    @Test
    void blocksEachOfTwoPartsThatCrashServersByTurns() {
        CrashSuspect other = CrashSuspect.ofPromptPart("other");
        history.recordAnswer(GOOD, ms(0));
        for (int i = 0; i < 3; i++) {
            crash(1_000 + 8_000 * i, BAD, GOOD);
            crash(5_000 + 8_000 * i, other, GOOD);
        }
        assertThat(isBlocked(BAD)).isTrue();
        assertThat(isBlocked(other)).isTrue();
        assertThat(isBlocked(GOOD)).isFalse();
        assertThat(history.suspicion(BAD).contested()).isFalse();
    }

    @Test
    void keepsPartBlockedWhateverExplainsItsCrashesLater() {
        crash(1_000, BAD, NEW);
        crash(5_000, BAD, NEW);
        crash(9_000, BAD, NEW);
        crash(13_000, NEW);
        crash(17_000, NEW);
        assertThat(isBlocked(BAD)).isTrue();
        assertThat(isBlocked(NEW)).isTrue();
    }

    @Test
    void releasesPartOnceAnAnswerHasIt() {
        crash(1_000, BAD, NEW);
        crash(5_000, BAD, NEW);
        crash(9_000, BAD, NEW);
        assertThat(history.recordAnswer(NEW, ms(10_000))).isTrue();
        assertThat(isBlocked(NEW)).isFalse();
        assertThat(isBlocked(BAD)).isTrue();
    }

    @Test
    void countsManyCrashesAtOnceAsOneForPartThatMostOfThemLack() {
        for (int i = 0; i < SERVERS_AT_ONCE; i++) {
            crash(1_000 + i, request(i), i % 3 == 0 ? NEW : CrashSuspect.ofPromptPart("x" + i));
        }
        assertThat(isBlocked(NEW)).isFalse();
    }

    @Test
    void blocksPartThatIsOnAllOfManyServersThatCrashAtOnce() {
        history.recordAnswer(GOOD, ms(0));
        for (int i = 0; i < SERVERS_AT_ONCE; i++) {
            crash(1_000 + i, request(i), BAD, GOOD);
        }
        assertThat(isBlocked(BAD)).isTrue();
        assertThat(isBlocked(GOOD)).isFalse();
    }

    @Test
    void blocksCrashingRequestWhateverItsPromptIs() {
        CrashSuspect anyPrompt =
                CrashSuspect.ofAnyPrompt("clerks", "POST", "a.example", "/x", new byte[] {1});
        history.recordAnswer(GOOD, ms(0));
        for (int i = 0; i < 3; i++) {
            CrashSuspect own = CrashSuspect.ofPromptPart("own" + i);
            crash(1_000 + 4_000 * i, request(i), anyPrompt, GOOD, own);
        }
        assertThat(isBlocked(anyPrompt)).isTrue();
        assertThat(isBlocked(GOOD)).isFalse();
    }

    @Test
    void crashesThatOneRequestExplainsDoNotCountAgainstPartsThatAnswersHad() {
        history.recordAnswer(GOOD, ms(0));
        for (int i = 0; i < 6; i++) {
            crash(1_000 + 4_000 * i, request(1), GOOD);
        }
        assertThat(isBlocked(request(1))).isTrue();
        assertThat(isBlocked(GOOD)).isFalse();
    }

    @Test
    void learnsFromOtherEntryThatAnswersHadAPart() {
        CrashHistory other = new CrashHistory();
        other.recordAnswer(GOOD, ms(500));
        crash(1_000, BAD, GOOD);
        crash(5_000, BAD, GOOD);
        crash(9_000, BAD, GOOD);
        assertThat(isBlocked(GOOD)).isTrue();
        other.merge(history.report(ms(9_010)), ms(9_010));
        history.merge(other.report(ms(9_020)), ms(9_020));
        assertThat(isBlocked(GOOD)).isFalse();
        assertThat(isBlocked(BAD)).isTrue();
        assertThat(other.merge(history.report(ms(9_030)), ms(9_030))).isFalse();
    }

    @Test
    void remembersAnswersWithPartThroughManyRequestsThatComeOnce() {
        history.recordAnswer(GOOD, ms(0));
        for (int i = 0; i < 2 * RecentAnswers.MAX_PARTS; i++) {
            byte[] body = {(byte) i, (byte) (i >> 8)};
            history.recordAnswer(
                    CrashSuspect.ofAnyPrompt("clerks", "POST", "a.example", "/x", body), ms(i));
        }
        crash(100_000, BAD, GOOD);
        crash(104_000, BAD, GOOD);
        crash(108_000, BAD, GOOD);
        assertThat(isBlocked(BAD)).isTrue();
        assertThat(isBlocked(GOOD)).isFalse();
    }

    @Test
    void answersOfPopularPartsDoNotKeepHistoriesExchanging() {
        CrashHistory other = new CrashHistory();
        crash(1_000, BAD, GOOD);
        for (long atMs = 2_000; atMs < 10_000; atMs += 700) {
            history.recordAnswer(GOOD, ms(atMs));
            other.recordAnswer(GOOD, ms(atMs));
        }
        other.merge(history.report(ms(10_000)), ms(10_000));
        history.merge(other.report(ms(10_000)), ms(10_000));
        for (long atMs = 10_700; atMs < 20_000; atMs += 700) {
            history.recordAnswer(GOOD, ms(atMs));
            other.recordAnswer(GOOD, ms(atMs));
            assertThat(other.merge(history.report(ms(atMs)), ms(atMs))).isFalse();
            assertThat(history.merge(other.report(ms(atMs)), ms(atMs))).isFalse();
        }
    }

    @Test
    void keepsRepeatedPartAmongMoreSuspectsThanACrashHolds() {
        for (int i = 0; i < 3; i++) {
            Set<CrashSuspect> suspects = new HashSet<>();
            for (int j = 0; suspects.size() < CrashHistory.MAX_SUSPECTS - 1; j++) {
                suspects.add(CrashSuspect.ofPromptPart("part" + i + "-" + j));
            }
            suspects.add(BAD);
            if (i > 0) {
                for (int j = 0; j < CrashHistory.MAX_SUSPECTS; j++) {
                    suspects.add(CrashSuspect.ofPromptPart("more" + i + "-" + j));
                }
            }
            crash(1_000 + 4_000 * i, suspects.toArray(CrashSuspect[]::new));
        }
        assertThat(isBlocked(BAD)).isTrue();
    }

    private static CrashSuspect request(String account, String content) {
        return CrashSuspect.ofRequest(
                account, "POST", "a.example", "/x", List.of(), content.getBytes(UTF_8));
    }

    private static CrashSuspect content(String content) {
        return CrashSuspect.ofContent(
                "POST", "a.example", "/x", List.of(), content.getBytes(UTF_8));
    }

    @Test
    void blocksContentThatCrashesServersWhicheverAccountSendsIt() {
        history.recordAnswer(PATH, ms(0));
        for (int i = 0; i < 3; i++) {
            crash(1_000 + 4_000 * i, request("account-" + i, "bad"), content("bad"), PATH);
        }
        assertThat(isBlocked(content("bad"))).isTrue();
        assertThat(isBlocked(request("account-0", "bad"))).isFalse();
        assertThat(isBlocked(PATH)).isFalse();
        assertThat(history.recordAnswer(content("bad"), ms(20_000))).isTrue();
        assertThat(isBlocked(content("bad"))).isFalse();
    }

    @Test
    void blocksPathThatNoAnswerHadWhateverItsRequestsHold() {
        for (int i = 0; i < 3; i++) {
            crash(1_000 + 4_000 * i, request("clerks", "b" + i), content("b" + i), PATH);
        }
        assertThat(isBlocked(PATH)).isTrue();
        assertThat(history.suspicion(PATH).contested()).isFalse();
        assertThat(history.recordAnswer(PATH, ms(20_000))).isTrue();
        for (int i = 0; i < 8; i++) {
            crash(21_000 + 4_000 * i, request("clerks", "c" + i), content("c" + i), PATH);
        }
        assertThat(isBlocked(PATH)).isFalse();
    }

    @Test
    void blocksRequestAfterTwoCrashesIfNothingElseWasOnSeveralServers() {
        crash(1_000, request(1), request(11));
        crash(2_000, request(2), request(12), request(13));
        crash(3_000, request(1));
        assertThat(isBlocked(request(1))).isTrue();
        assertThat(isBlocked(request(2))).isFalse();
        crash(4_000, request(2), request(14));
        assertThat(isBlocked(request(2))).isTrue();
        assertThat(isBlocked(request(11))).isFalse();
    }

    @Test
    void blocksTwoRequestsThatWereOnTheSameServersAfterThreeCrashesOnly() {
        crash(1_000, request(1), request(2));
        crash(2_000, request(1), request(2));
        assertThat(isBlocked(request(1))).isFalse();
        crash(3_000, request(1), request(2));
        assertThat(isBlocked(request(1))).isTrue();
    }

    @Test
    void answeredRequestIsNoOtherExplanation() {
        crash(1_000, request(1), request(2));
        crash(2_000, request(1), request(2));
        history.recordAnswer(request(2), ms(2_500));
        assertThat(isBlocked(request(1))).isTrue();
        assertThat(isBlocked(request(2))).isFalse();
    }

    @Test
    void countsTrialsOfAllRequestsOfAServiceUntilTheyAreAnswered() {
        crash(1_000, request(1));
        crash(2_000, request(1));
        crash(3_000, request(2));
        crash(4_000, request(2));
        history.recordTrial(request(1), 7, ms(9_000));
        assertThat(history.suspicion(request(2)).serviceTrials()).isEqualTo(1);
        history.recordTrial(request(2), 8, ms(9_100));
        assertThat(history.suspicion(request(1)).serviceTrials()).isEqualTo(2);
        history.recordAnswer(request(2), ms(9_200));
        assertThat(history.suspicion(request(1)).serviceTrials()).isEqualTo(1);
    }
}
