package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.standin.platform.StoreFault;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.NettyLoops;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests claims of the leadership of a rank group while the store works and while it fails. */
class StoreLeaseTest {

    private static final String GROUP = "g0";

    private final PlatformStoreStandin store = new PlatformStoreStandin(100);
    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient http = new HttpClient(loops);
    private final StoreLease lease =
            new StoreLease(new StoreClient(http, new HttpAddress("127.0.0.1", store.port())));

    @AfterEach
    void stop() {
        http.close();
        loops.close();
        store.close();
    }

    private long claim(String holder) throws Exception {
        long replacedToken = lease.currentToken(GROUP).get(5, TimeUnit.SECONDS);
        return lease.claim(GROUP, holder, replacedToken).get(5, TimeUnit.SECONDS);
    }

    @Test
    void eachClaimRaisesFencingToken() throws Exception {
        long first = claim("a");
        long second = claim("b");
        assertThat(second).isGreaterThan(first);
    }

    @Test
    void claimAfterLostAnswerReturnsStoredToken() throws Exception {
        store.setFault(StoreFault.ANSWERS_LOST);
        assertThrows(ExecutionException.class, () -> claim("a"));
        store.setFault(StoreFault.NONE);
        long token = claim("a");
        long storedRevision =
                store.read("leases", GROUP)
                        .orElseThrow()
                        .path("Metadata")
                        .path("Revision")
                        .asLong();
        assertThat(token).isEqualTo(StoreLease.REVISIONS_PER_ERA + storedRevision);
    }

    @Test
    void onlyOneOfSeveralClaimsReplacesTheSameLeader() throws Exception {
        long silentToken = claim("a");
        lease.claim(GROUP, "b", silentToken).get(5, TimeUnit.SECONDS);
        assertThrows(
                ExecutionException.class,
                () -> lease.claim(GROUP, "c", silentToken).get(5, TimeUnit.SECONDS));
    }

    @Test
    void onlyOneOfSeveralFirstClaimsSucceeds() throws Exception {
        lease.claim(GROUP, "a", 0).get(5, TimeUnit.SECONDS);
        assertThrows(
                ExecutionException.class,
                () -> lease.claim(GROUP, "b", 0).get(5, TimeUnit.SECONDS));
    }

    @Test
    void tokenIsHigherThanAnyBeforeAnOlderCopyOfTheStore() throws Exception {
        long first = claim("a");
        store.keepCopy();
        long second = claim("b");
        long third = claim("c");
        store.restoreCopy();
        long afterDrill = claim("d");
        assertThat(second).isGreaterThan(first);
        assertThat(afterDrill).isGreaterThan(third);
    }

    @Test
    void claimFailsIfTheReplacedTokenWasReadBeforeTheStoreWentBack() throws Exception {
        store.keepCopy();
        claim("a");
        long silentToken = claim("b");
        store.restoreCopy();
        assertThat(lease.currentToken(GROUP).get(5, TimeUnit.SECONDS)).isEqualTo(0);
        lease.claim(GROUP, "c", 0).get(5, TimeUnit.SECONDS);
        long current = lease.currentToken(GROUP).get(5, TimeUnit.SECONDS);
        lease.claim(GROUP, "d", current).get(5, TimeUnit.SECONDS);
        assertThrows(
                ExecutionException.class,
                () -> lease.claim(GROUP, "e", silentToken).get(5, TimeUnit.SECONDS));
    }

    @Test
    void claimFailsWhileStoreIsUnavailable() {
        store.setFault(StoreFault.UNAVAILABLE);
        assertThrows(ExecutionException.class, () -> claim("a"));
    }
}
