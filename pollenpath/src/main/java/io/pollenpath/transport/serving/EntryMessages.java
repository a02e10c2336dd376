package io.pollenpath.transport.serving;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.pollenpath.coordination.serving.CrashReport;
import io.pollenpath.coordination.serving.LimitReport;
import io.pollenpath.coordination.serving.SlowdownReport;
import io.pollenpath.coordination.serving.TrialClaim;
import io.pollenpath.protocol.wire.EntryNotice;
import io.pollenpath.protocol.wire.NamedLimit;
import io.pollenpath.protocol.wire.RequestClearance;
import io.pollenpath.protocol.wire.RequestTrial;
import io.pollenpath.protocol.wire.ServerCrash;
import io.pollenpath.state.serving.CrashSuspect;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/** Encodes and decodes the messages between entries. */
final class EntryMessages {

    private EntryMessages() {}

    static byte[] encode(EntryMessage message) {
        EntryNotice.Builder notice = EntryNotice.newBuilder().setAgreed(message.agreed());
        message.claim().ifPresent(claim -> notice.setClaim(encode(claim)));
        encode(message.knowledge().crashes(), notice);
        encode(message.knowledge().limits(), notice);
        return notice.build().toByteArray();
    }

    /** Encodes a message of the agent beside a server. */
    static byte[] encode(SlowdownReport report) {
        EntryNotice.Builder notice = EntryNotice.newBuilder();
        notice.addSlowdownsBuilder().setAddress(report.address()).setFactor(report.factor());
        return notice.build().toByteArray();
    }

    private static io.pollenpath.protocol.wire.TrialClaim encode(TrialClaim claim) {
        return io.pollenpath.protocol.wire.TrialClaim.newBuilder()
                .setRequest(encode(claim.suspect()))
                .setNumber(claim.number())
                .setClaimant(claim.claimant())
                .addAllEvidence(claim.evidence())
                .build();
    }

    private static void encode(List<LimitReport> limits, EntryNotice.Builder notice) {
        for (LimitReport limit : limits) {
            NamedLimit.Builder message =
                    notice.addLimitsBuilder().setServer(limit.serverId()).setAgeMs(limit.ageMs());
            limit.perSecond().ifPresent(message::setPerSecond);
        }
    }

    private static void encode(CrashReport report, EntryNotice.Builder notice) {
        for (CrashReport.Crash crash : report.crashes()) {
            ServerCrash.Builder message =
                    notice.addCrashesBuilder()
                            .setServer(crash.server())
                            .setService(crash.service())
                            .setAgeMs(crash.ageMs());
            crash.suspects().forEach(suspect -> message.addSuspects(encode(suspect)));
        }
        for (CrashReport.Clearance clearance : report.clearances()) {
            notice.addClearancesBuilder()
                    .setRequest(encode(clearance.suspect()))
                    .setAgeMs(clearance.ageMs());
        }
        for (CrashReport.Trial trial : report.trials()) {
            notice.addTrialsBuilder()
                    .setRequest(encode(trial.suspect()))
                    .setId(trial.id())
                    .setAgeMs(trial.ageMs());
        }
    }

    private static ByteString encode(CrashSuspect request) {
        return ByteString.copyFrom(request.encode());
    }

    /**
     * Decodes a message.
     *
     * @throws IllegalArgumentException if the bytes are no valid message
     */
    static EntryMessage decode(byte[] bytes) {
        try {
            EntryNotice notice = EntryNotice.parseFrom(bytes);
            EntryKnowledge.Report knowledge =
                    new EntryKnowledge.Report(
                            decodeCrashes(notice), decodeLimits(notice), decodeSlowdowns(notice));
            return new EntryMessage(knowledge, decodeClaim(notice), notice.getAgreed());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the message of another entry is unreadable", e);
        }
    }

    private static Optional<TrialClaim> decodeClaim(EntryNotice notice) {
        if (!notice.hasClaim()) {
            return Optional.empty();
        }
        io.pollenpath.protocol.wire.TrialClaim claim = notice.getClaim();
        return Optional.of(
                new TrialClaim(
                        decode(claim.getRequest()),
                        claim.getNumber(),
                        claim.getClaimant(),
                        claim.getEvidenceList()));
    }

    private static List<LimitReport> decodeLimits(EntryNotice notice) {
        List<LimitReport> limits = new ArrayList<>();
        for (NamedLimit limit : notice.getLimitsList()) {
            OptionalDouble perSecond =
                    limit.hasPerSecond()
                            ? OptionalDouble.of(limit.getPerSecond())
                            : OptionalDouble.empty();
            limits.add(new LimitReport(limit.getServer(), perSecond, limit.getAgeMs()));
        }
        return limits;
    }

    private static List<SlowdownReport> decodeSlowdowns(EntryNotice notice) {
        return notice.getSlowdownsList().stream()
                .map(message -> new SlowdownReport(message.getAddress(), message.getFactor()))
                .toList();
    }

    private static CrashReport decodeCrashes(EntryNotice notice) {
        List<CrashReport.Crash> crashes = new ArrayList<>();
        for (ServerCrash crash : notice.getCrashesList()) {
            Set<CrashSuspect> suspects = new HashSet<>();
            crash.getSuspectsList().forEach(suspect -> suspects.add(decode(suspect)));
            crashes.add(
                    new CrashReport.Crash(
                            crash.getServer(), crash.getService(), suspects, crash.getAgeMs()));
        }
        List<CrashReport.Clearance> clearances = new ArrayList<>();
        for (RequestClearance clearance : notice.getClearancesList()) {
            clearances.add(
                    new CrashReport.Clearance(
                            decode(clearance.getRequest()), clearance.getAgeMs()));
        }
        List<CrashReport.Trial> trials = new ArrayList<>();
        for (RequestTrial trial : notice.getTrialsList()) {
            trials.add(
                    new CrashReport.Trial(
                            decode(trial.getRequest()), trial.getId(), trial.getAgeMs()));
        }
        return new CrashReport(crashes, clearances, trials);
    }

    private static CrashSuspect decode(ByteString request) {
        return CrashSuspect.decode(request.toByteArray());
    }
}
