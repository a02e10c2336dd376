package io.pollenpath.platform;

/**
 * Holds the time limits and budgets of a deployment.
 *
 * @param graceMs the time between the signal to stop and the kill
 * @param stableWindowMs how long a VM must be without trouble until time limits bind it again
 * @param configApplyMs how soon an accepted configuration must be in force
 * @param retryRatio the repeated sends allowed for each request
 * @param retryWindowMs the window over which repeated sends are counted
 * @param retryAllowance the repeated sends allowed beyond the ratio in a window
 * @param stallMs how long a rank group waits for a rank before it cuts its work
 * @param fencedOrders whether engines refuse orders with an old fencing token
 */
record DeploymentBounds(
        long graceMs,
        long stableWindowMs,
        long configApplyMs,
        double retryRatio,
        long retryWindowMs,
        double retryAllowance,
        long stallMs,
        boolean fencedOrders) {}
