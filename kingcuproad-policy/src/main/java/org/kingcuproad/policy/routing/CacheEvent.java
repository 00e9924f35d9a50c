package org.kingcuproad.policy.routing;

/**
 * A change of an upstream's prompt prefix cache.
 *
 * @param prefixHash hash of the prefix, as in {@link PromptPrefix}
 * @param evicted whether the prefix left the cache, rather than entered it
 */
public record CacheEvent(long prefixHash, boolean evicted) {}
