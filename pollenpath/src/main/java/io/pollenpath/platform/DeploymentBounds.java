package io.pollenpath.platform;

/**
 * The time limits and budgets of a deployment, from the section {@code Bounds} of the settings
 * file, and its {@code HeartbeatMs}.
 *
 * @param graceMs the time between the stop signal and the kill of a process, in milliseconds
 * @param stableWindowMs how long a VM must be free of faults before time limits apply to it again,
 *     in milliseconds
 * @param drainMs how long a server goes on serving after its registration was removed or said that
 *     it leaves, in milliseconds
 * @param heartbeatMs the time after which a server renews its registration, in milliseconds
 * @param configApplyMs the time limit for applying an accepted configuration, in milliseconds
 * @param retryRatio the retries allowed per request
 * @param retryWindowMs the window over which retries are counted, in milliseconds
 * @param retryAllowance the retries allowed in a window in addition to the ratio
 * @param stallMs how long a rank group waits for a stalled rank before it aborts its work, in
 *     milliseconds
 * @param requireFencing whether engines reject commands with an outdated fencing token
 */
record DeploymentBounds(
        long graceMs,
        long stableWindowMs,
        long drainMs,
        long heartbeatMs,
        long configApplyMs,
        double retryRatio,
        long retryWindowMs,
        double retryAllowance,
        long stallMs,
        boolean requireFencing) {}
