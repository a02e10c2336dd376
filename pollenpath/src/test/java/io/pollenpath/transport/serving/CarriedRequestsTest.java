package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class CarriedRequestsTest {

    private final CarriedRequests carried = new CarriedRequests();

    @Test
    void knowsTheLatestRequests() {
        for (int i = 0; i < 100; i++) {
            carried.add("request-" + i);
        }
        assertThat(carried.contains("request-99")).isTrue();
        assertThat(carried.contains("request-36")).isTrue();
        assertThat(carried.contains("request-35")).isFalse();
        assertThat(carried.contains("")).isFalse();
    }

    /** Guards against a late answer that is trusted since both requests have the same ID. */
    @Test
    void severalRequestsMayHaveOneId() {
        carried.add("request");
        assertThat(carried.areSeveral()).isFalse();
        carried.add("request");
        assertThat(carried.areSeveral()).isTrue();
    }
}
