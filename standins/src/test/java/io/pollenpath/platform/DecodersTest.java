package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.group.VmCapacity;
import io.pollenpath.state.serving.Repeatability;
import io.pollenpath.state.serving.Route;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.state.serving.ServingConfig;
import io.pollenpath.transport.serving.WireDialect.ReplyKind;
import io.pollenpath.util.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the decoders of the platform's formats with valid and with broken input. */
class DecodersTest {

    private static JsonNode json(String text) {
        return Json.parse(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    private static List<ServerInstance> decode(JsonNode... registrations) {
        Map<String, StoredObject> objects = new HashMap<>();
        for (int i = 0; i < registrations.length; i++) {
            objects.put("i-" + i, new StoredObject("i-" + i, 9, 5, registrations[i]));
        }
        return new ServerRegistrations().decode(objects);
    }

    @Test
    void decodesServerRegistration() {
        ObjectNode registration = PlatformFixtures.serverEntry("drafts", 8080).put("born", 17);
        ServerInstance server = decode(registration).get(0);
        assertThat(server.id()).isEqualTo("i-0");
        assertThat(server.service()).isEqualTo("drafts");
        assertThat(server.port()).isEqualTo(8080);
        assertThat(server.incarnation()).isEqualTo(17);
        assertThat(server.registrationRevision()).isEqualTo(5);
        assertThat(server.draining()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "null",
                "'text'",
                "[1]",
                "{'Service':'s','Address':'1.2.3.4:80','Zone':'z','Slots':'8','State':'ready'}",
                "{'Service':'s','Address':'1.2.3.4:80','Zone':'z','Slots':8,'State':'asleep'}",
                "{'Service':'s','Address':'1.2.3.4','Zone':'z','Slots':8,'State':'ready'}",
                "{'Service':'s','Address':'1.2.3.4:99999','Zone':'z','Slots':8,'State':'ready'}",
                "{'Service':7,'Address':'1.2.3.4:80','Zone':'z','Slots':8,'State':'ready'}",
                "{'Service':'s','Address':'1.2.3.4:80','Zone':'z','Slots':0,'State':'ready'}"
            })
    void skipsUnreadableServerRegistrationAndKeepsOthers(String broken) {
        List<ServerInstance> servers =
                decode(json(broken), PlatformFixtures.serverEntry("drafts", 8080));
        assertThat(servers).hasSize(1);
        assertThat(servers.get(0).service()).isEqualTo("drafts");
    }

    @Test
    void decodesRoutesAndAccountsOfManifest() {
        ServingConfig config = ManifestDecoder.decode(PlatformFixtures.manifest(3, "drafts"));
        Route route = config.route(PlatformFixtures.HOST, "/stream/a/b").orElseThrow();
        assertThat(route.streaming()).isTrue();
        assertThat(route.mayRunAgain()).isTrue();
        Route finalStream = config.route(PlatformFixtures.HOST, "/stream-final/a").orElseThrow();
        assertThat(finalStream.mayRunAgain()).isFalse();
        Route nonIdempotent = config.route(PlatformFixtures.HOST, "/once/").orElseThrow();
        assertThat(nonIdempotent.repeatability()).isEqualTo(Repeatability.NON_IDEMPOTENT);
        assertThat(config.route(PlatformFixtures.HOST, "/streamer/")).isEmpty();
        assertThat(config.account(PlatformFixtures.API_KEY).orElseThrow().name())
                .isEqualTo(PlatformFixtures.ACCOUNT);
        assertThat(config.needsKey(route)).isTrue();
        assertThat(config.limits().idleTimeoutMs()).isEqualTo(5_000);
    }

    @Test
    void routesByLongestPathPrefix() {
        ObjectNode manifest = PlatformFixtures.manifest(3, "drafts");
        ObjectNode longer = manifest.withArray("Routes").get(0).deepCopy();
        longer.put("Name", "longer").put("PathPrefix", "/plain/deep/");
        manifest.withArray("Routes").add(longer);
        ServingConfig config = ManifestDecoder.decode(manifest);
        assertThat(config.route(PlatformFixtures.HOST, "/plain/deep/x").orElseThrow().name())
                .isEqualTo("longer");
        assertThat(config.route(PlatformFixtures.HOST, "/plain/x").orElseThrow().name())
                .isEqualTo("plain");
    }

    @Test
    void splitsTrafficByWeight() {
        ObjectNode manifest = PlatformFixtures.manifest(3, "drafts");
        ObjectNode route = (ObjectNode) manifest.withArray("Routes").get(0);
        route.remove("Service");
        route.withArray("TrafficSplit").addObject().put("Service", "a").put("Weight", 90);
        route.withArray("TrafficSplit").addObject().put("Service", "b").put("Weight", 10);
        Route split =
                ManifestDecoder.decode(manifest)
                        .route(PlatformFixtures.HOST, "/plain/")
                        .orElseThrow();
        assertThat(split.serviceFor(0.89)).isEqualTo("a");
        assertThat(split.serviceFor(0.91)).isEqualTo("b");
    }

    @Test
    void rejectsManifestWithoutVersion() {
        assertThrows(IllegalArgumentException.class, () -> ManifestDecoder.decode(json("{}")));
    }

    @ParameterizedTest
    @CsvSource({
        "200, Upstream-Signature, ANSWER",
        "200, X, UNPROVEN",
        "404, X, ANSWER",
        "500, Upstream-Signature, ANSWER",
        "503, Not-Executed, NOT_RUN",
        "400, Not-Executed, NOT_RUN",
        "421, X, OTHER_SERVER",
        "503, X, UNPROVEN",
        "429, X, UNPROVEN",
        "408, X, UNPROVEN"
    })
    void classifiesAnswers(int status, String header, ReplyKind kind) {
        HttpHeaders headers = new DefaultHttpHeaders().set(header, "1");
        assertThat(new HeaderDialect().classify(status, headers)).isEqualTo(kind);
    }

    @ParameterizedTest
    @CsvSource({
        "503, 3, 3000",
        "503, 0.25, 250",
        "503, -2, 0",
        "503, 1e300, 9223372036854775807",
        "429, 3, -1"
    })
    void readsTheTimeThatARefusalNames(int status, String value, long pauseMs) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Retry-After", value);
        assertThat(new HeaderDialect().pauseMs(status, headers).orElse(-1)).isEqualTo(pauseMs);
    }

    @Test
    void readsTheLongestOfSeveralTimesAndRejectsADate() {
        HttpHeaders several =
                new DefaultHttpHeaders().add("Retry-After", "1").add("Retry-After", "2");
        assertThat(new HeaderDialect().pauseMs(503, several)).hasValue(2_000);
        HttpHeaders date =
                new DefaultHttpHeaders().set("Retry-After", "Fri, 04 Dec 2026 10:00:00 GMT");
        assertThrows(NumberFormatException.class, () -> new HeaderDialect().pauseMs(503, date));
    }

    @Test
    void readsThatAServerLeaves() {
        HeaderDialect dialect = new HeaderDialect();
        assertThat(dialect.isLeaving(new DefaultHttpHeaders())).isFalse();
        assertThat(dialect.isLeaving(new DefaultHttpHeaders().set("Server-Leaving", "0")))
                .isFalse();
        assertThat(dialect.isLeaving(new DefaultHttpHeaders().set("Server-Leaving", "1"))).isTrue();
    }

    @Test
    void decodesReportOfRank() {
        RankStatus status =
                EngineApi.decodeStatus(
                        json(
                                "{'group':{'Name':'g','epoch':2,'rank':1,'State':'open'},'size':4,"
                                        + "'Busy':false,'step':9,'Map':3,'Prepared':5,"
                                        + "'Armed':{'Version':5,'step':12},'held':null}"));
        assertThat(status.epoch()).isEqualTo(2);
        assertThat(status.hasPrepared(5)).isTrue();
        assertThat(status.armed().orElseThrow().step()).isEqualTo(12);
        assertThat(status.held().isPresent()).isFalse();
        assertThat(status.isMapStable()).isFalse();
    }

    @Test
    void rejectsReportWithoutGroup() {
        assertThrows(
                IllegalArgumentException.class, () -> EngineApi.decodeStatus(json("{'step':1}")));
    }

    @Test
    void readsSettingsFileAndNamesMissingSetting(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("node.yaml");
        Files.writeString(
                file,
                """
                Node: "edge-1"
                Zone: "zone-a"
                Ip: "127.0.0.1"
                Listen:
                  Front: "127.0.0.1:8227"
                  Ready: "127.0.0.1:8220"
                InternalPortRange: [7340, 7355]
                Bounds:
                  GraceS: 8
                  RetryBudgetRatio: 0.2
                Platform:
                  Address: "127.0.0.1:8223"
                Unknown: true
                """);
        PlatformSettings settings = SettingsFile.read(file);
        assertThat(settings.bounds().graceMs()).isEqualTo(8_000);
        assertThat(settings.callerAddress().orElseThrow().port()).isEqualTo(8227);
        assertThat(settings.engineAddress()).isEmpty();
        assertThat(settings.capacity().cores()).isEqualTo(1);
        Files.writeString(file, "Zone: \"zone-a\"\n");
        IllegalArgumentException thrown =
                assertThrows(IllegalArgumentException.class, () -> SettingsFile.read(file));
        assertThat(thrown).hasMessageThat().contains("Node");
    }

    @Test
    void readsVmCapacityFromSettingsFile(@TempDir Path folder) throws IOException {
        String text =
                """
                Node: "side-1"
                Zone: "zone-a"
                Ip: "127.0.0.1"
                Limits:
                  CpuShare: %s
                  LinkMbps: 14.0
                Platform:
                  Address: "127.0.0.1:8223"
                """;
        Path file = Files.writeString(folder.resolve("node.yaml"), text.formatted("0.45"));
        VmCapacity capacity = SettingsFile.read(file).capacity();
        assertThat(capacity.cores()).isEqualTo(0.45);
        assertThat(capacity.linkBytesPerSecond()).isEqualTo(1_750_000);
        Files.writeString(file, text.formatted("0"));
        IllegalArgumentException thrown =
                assertThrows(IllegalArgumentException.class, () -> SettingsFile.read(file));
        assertThat(thrown).hasMessageThat().contains("declare figures above 0");
    }

    @Test
    void quietWatchesEndBeforeTheHistoryOfTheStore(@TempDir Path folder) throws IOException {
        String text =
                """
                Node: "side-1"
                Zone: "zone-a"
                Ip: "127.0.0.1"
                Platform:
                  Address: "127.0.0.1:8223"
                  HistoryS: 6
                """;
        Path file = Files.writeString(folder.resolve("node.yaml"), text);
        assertThat(SettingsFile.read(file).quietWatchMs()).isEqualTo(3_000);
        Files.writeString(file, text.replace("  HistoryS: 6\n", ""));
        assertThat(SettingsFile.read(file).quietWatchMs()).isEqualTo(10_000);
    }

    /** Guards against an answer whose head is that of two. */
    @Test
    void anAnswerThatNamesTwoRequestsBelongsToNone() {
        HttpHeaders headers =
                new DefaultHttpHeaders().add("Request-Id", "a").add("Request-Id", "b");
        assertThat(new HeaderDialect().belongsTo(headers, "a")).isFalse();
        assertThat(new HeaderDialect().belongsTo(headers, "b")).isFalse();
    }
}
