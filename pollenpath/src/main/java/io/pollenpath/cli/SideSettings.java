package io.pollenpath.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.pollenpath.transport.side.AnswerLimits;
import io.pollenpath.util.ValidationErrors;

/** Settings of a side process. */
@Parameters(commandDescription = "Guard the backend server beside this process")
final class SideSettings extends CommonSettings {

    @Check(max = 65_535)
    @Parameter(names = "--link-port", description = "Port for entries, 0 for any")
    int linkPort;

    @Check(form = Form.ADDRESS)
    @Parameter(names = "--backend", description = "Backend server, as IP:port", required = true)
    String backend = "";

    @Check(min = 1, max = 65_536)
    @Parameter(names = "--max-running", description = "Most requests on the backend server")
    int maxRunning = 32;

    @Check(max = 1_000_000)
    @Parameter(names = "--max-queued", description = "Most requests that wait")
    int maxQueued = 256;

    @Check(min = 1_000, max = 86_400_000)
    @Parameter(
            names = "--retention-ms",
            description = "How long answers and tombstones are kept, in milliseconds")
    int retentionMs = 120_000;

    @Check(min = 1_024, max = 1_073_741_824)
    @Parameter(
            names = "--answer-window-bytes",
            description = "Most bytes of an answer sent beyond what its reader took")
    int answerWindowBytes = AnswerLimits.DEFAULT.windowBytes();

    @Check(min = 1_024, max = 1_073_741_824)
    @Parameter(
            names = "--max-unread-answer-bytes",
            description = "Unread bytes of one answer above which the backend server is paused")
    int maxUnreadAnswerBytes = AnswerLimits.DEFAULT.maxUnreadBytes();

    @Check(min = 1_024, max = 2_147_483_647)
    @Parameter(
            names = "--max-retained-bytes",
            description = "Most bytes of all kept answers together")
    long maxRetainedBytes = AnswerLimits.DEFAULT.maxRetainedBytes();

    @Check(min = 1, max = 3_600_000)
    @Parameter(
            names = "--resume-window-ms",
            description = "How long a run waits for its caller to come back, in milliseconds")
    int resumeWindowMs = AnswerLimits.DEFAULT.resumeWindowMs();

    @Check(min = 1_024, max = 6_291_456)
    @Parameter(
            names = "--max-event-bytes",
            description = "Largest event of a streamed answer, in bytes")
    int maxEventBytes = 1_048_576;

    @Override
    protected void check(ValidationErrors faults) {
        checkPorts(faults, "--link-port", linkPort);
        faults.addIf(
                linkPort != 0 && backend.equals(listenHost + ":" + linkPort),
                "--backend is this process itself; set the address of the backend server");
        faults.addIf(
                !objectApi.isEmpty() && backend.equals(objectApi),
                "--backend and --object-api are both " + backend + "; set different addresses");
    }

    AnswerLimits answerLimits() {
        return new AnswerLimits(
                answerWindowBytes, maxUnreadAnswerBytes, maxRetainedBytes, resumeWindowMs);
    }
}
