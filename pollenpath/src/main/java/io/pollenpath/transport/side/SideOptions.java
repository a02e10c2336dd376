package io.pollenpath.transport.side;

/**
 * The settings of a side process.
 *
 * @param server the name of the backend server that it fronts, not null
 * @param zone its availability zone, not null
 * @param maxRunning the most requests that run on the backend server at once
 * @param maxQueued the most requests in the queue
 * @param retentionMs how long answers and the records of refused or ended requests are kept, in
 *     milliseconds
 * @param answers the limits of retained and sent answers, not null
 */
public record SideOptions(
        String server,
        String zone,
        int maxRunning,
        int maxQueued,
        int retentionMs,
        AnswerLimits answers) {}
