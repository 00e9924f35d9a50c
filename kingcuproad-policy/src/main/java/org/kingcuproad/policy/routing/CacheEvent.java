package org.kingcuproad.policy.routing;

/**
 * A change in an upstream's prompt prefix cache.
 *
 * @param prefixHash hash of the prefix, as in {@link PromptPrefix}
 * @param evicted {@code true} if the prefix was evicted, {@code false} if it was added
 */
public record CacheEvent(long prefixHash, boolean evicted) {}
