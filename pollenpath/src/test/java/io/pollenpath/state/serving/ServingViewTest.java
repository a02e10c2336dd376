package io.pollenpath.state.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServingViewTest {

    private static ServerInstance server(
            String id, long registrationRevision, int port, boolean draining) {
        return new ServerInstance(
                id, 0, registrationRevision, "drafts", "10.0.0.1", port, "zone-a", 8, draining);
    }

    @Test
    void theLastServerToRegisterAtAnAddressOutdatesTheOthers() {
        ServingView view =
                ServingView.EMPTY.withServers(
                        List.of(
                                server("old", 100, 80, false),
                                server("new", 200, 80, false),
                                server("elsewhere", 50, 81, false)));
        assertThat(view.outdated()).containsExactly("old");
        assertThat(view.serversOf("drafts")).hasSize(3);
    }

    @Test
    void aDrainingServerOutdatesOthersToo() {
        ServingView view =
                ServingView.EMPTY.withServers(
                        List.of(server("old", 100, 80, false), server("new", 200, 80, true)));
        assertThat(view.outdated()).containsExactly("old");
    }

    @Test
    void serversOfUnknownRegistrationOrderOutdateNone() {
        ServingView view =
                ServingView.EMPTY.withServers(
                        List.of(server("one", 0, 80, false), server("two", 0, 80, false)));
        assertThat(view.outdated()).isEmpty();
    }

    @Test
    void aServerIsReplacedByALaterRegistrationOrOnceItsOwnIsGone() {
        ServerInstance old = server("old", 100, 80, false);
        ServerInstance later = server("later", 200, 80, false);
        ServerInstance unordered = server("unordered", 50, 80, false);
        assertThat(view(old).isReplaced(old)).isFalse();
        assertThat(view(old, later).isReplaced(old)).isTrue();
        assertThat(view(old, unordered).isReplaced(old)).isFalse();
        assertThat(view(unordered).isReplaced(old)).isTrue();
        assertThat(view(server("elsewhere", 200, 81, false)).isReplaced(old)).isFalse();
    }

    private static ServingView view(ServerInstance... servers) {
        return ServingView.EMPTY.withServers(List.of(servers));
    }

    /**
     * A power failure of all VMs: each engine registers again before its old registration expires.
     */
    @Test
    void afterAPowerFailureEveryOldRegistrationIsOutdated() {
        List<ServerInstance> all = new ArrayList<>();
        for (int port = 1; port <= 16; port++) {
            all.add(server("before-" + port, 1_000, port, false));
            all.add(server("after-" + port, 3_000 + port, port, false));
        }
        ServingView view = ServingView.EMPTY.withServers(all);
        assertThat(view.outdated()).hasSize(16);
        assertThat(view.outdated().stream().allMatch(id -> id.startsWith("before"))).isTrue();
    }
}
