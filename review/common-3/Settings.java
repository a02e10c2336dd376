package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes settings files in the platform's format, with the bounds of the users' pages. */
public final class Settings {

    private Settings() {}

    /** Writes the settings of an entry. */
    public static Path entry(Path folder, String node, int front, int ready, int internal, int store)
            throws IOException {
        String listen =
                "Listen:\n  Front: \"%s\"\n  Ready: \"%s\"\n"
                        .formatted(address(front), address(ready));
        return write(folder, node, "edge", listen, internal, store, 0.57, 430, 1000);
    }

    /** Writes the settings of the process beside an engine. */
    public static Path side(
            Path folder, String node, String service, int engine, int internal, int store)
            throws IOException {
        String listen =
                "Listen: {}\napp: \"%s\"\nService: \"%s\"\n".formatted(address(engine), service);
        return write(folder, node, "side", listen, internal, store, 0.45, 298, 14);
    }

    private static Path write(
            Path folder,
            String node,
            String machineClass,
            String listen,
            int internal,
            int store,
            double cpuShare,
            int memoryMb,
            int linkMbps)
            throws IOException {
        String text =
                """
                Node: "%s"
                Role: "%s"
                MachineClass: "%s"
                Serves:
                  - "%s"
                Ip: "%s"
                Zone: "zone-a"
                Region: "region-a"
                Zones:
                  zone-a: "region-a"
                %sInternalPortRange:
                  - %d
                  - %d
                Seeds: []
                Bootstrap: true
                Limits:
                  CpuShare: %s
                  CpuCores: 1
                  MemoryMb: %d
                  MaxFds: 4200
                  LinkMbps: %d
                  DiskMb: 0
                DataDir: null
                Discovery: "platform"
                Entry: "vip"
                HeartbeatMs: 1200
                Bounds:
                  SeedLagS: 3
                  ReuseAfterS: 2
                  StableWindowMs: 3000
                  AckMs: 4000
                  CatchUpS: 4
                  DrainMs: 2000
                  GraceS: 8
                  LossSlackMs: 200
                  ConfigApplyMs: 2000
                  RollbackSlackMs: 250
                  OuterMs: 5000
                  StrictRevoke: false
                  RevokeMs: 5000
                  RetryBudgetRatio: 0.2
                  BudgetWindowS: 10
                  BudgetSlack: 90
                  RecoveryS: 12
                  PassMs: 120
                  RetryAfterS: 0
                  stall_ms: 1500
                  RequireFencing: true
                Platform:
                  Address: "%s"
                  form: "objects"
                  WritesPerS: 400
                  ReadsPerS: 2000
                  HistoryS: 20
                  ValueBytes: 1048576
                  MinTtlMs: 1000
                """
                        .formatted(
                                node,
                                machineClass,
                                machineClass,
                                machineClass,
                                Ports.HOST,
                                listen,
                                internal,
                                internal + 15,
                                cpuShare,
                                memoryMb,
                                linkMbps,
                                address(store));
        return Files.writeString(folder.resolve(node + ".yaml"), text);
    }

    public static String address(int port) {
        return Ports.HOST + ":" + port;
    }
}
