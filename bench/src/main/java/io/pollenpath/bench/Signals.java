package io.pollenpath.bench;

import java.io.IOException;

/** Pauses and resumes processes of the bench by signals, to simulate a paused VM. */
public final class Signals {

    private Signals() {}

    /**
     * Pauses a process with SIGSTOP until it is resumed.
     *
     * @param process the process, not null
     * @throws IOException if the signal could not be sent
     */
    public static void pause(ChildProcess process) throws IOException {
        send("-STOP", process);
    }

    /**
     * Resumes a paused process with SIGCONT.
     *
     * @param process the process, not null
     * @throws IOException if the signal could not be sent
     */
    public static void resume(ChildProcess process) throws IOException {
        send("-CONT", process);
    }

    private static void send(String signal, ChildProcess process) throws IOException {
        String pid = Long.toString(process.pid());
        Process kill = new ProcessBuilder("kill", signal, pid).inheritIO().start();
        try {
            if (kill.waitFor() != 0) {
                throw new IOException("could not send signal " + signal + " to process " + pid);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while sending a signal", e);
        }
    }
}
