package org.kingcuproad.model;

/**
 * Limits on what callers send and on how long the system waits.
 *
 * @param maxBodyBytes largest request body, in bytes
 * @param maxHeaderBytes largest request header block, in bytes
 * @param maxQueuedPerWorkspace requests of one workspace that may wait at one entry
 * @param retryBudgetRatio attempts beyond the first, as a ratio of requests
 * @param drainNoticeSeconds time between failing readiness and refusing new requests, in seconds
 * @param drainLimitSeconds longest time that a graceful shutdown waits for requests in progress, in seconds
 * @param claimRetentionSeconds time after which the claim of an idempotency key expires, in seconds
 */
public record Limits(
        int maxBodyBytes,
        int maxHeaderBytes,
        int maxQueuedPerWorkspace,
        double retryBudgetRatio,
        int drainNoticeSeconds,
        int drainLimitSeconds,
        int claimRetentionSeconds) {}
