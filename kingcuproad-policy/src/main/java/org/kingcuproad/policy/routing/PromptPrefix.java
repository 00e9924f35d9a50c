package org.kingcuproad.policy.routing;

import java.util.Arrays;
import net.openhft.hashing.LongHashFunction;

/**
 * Hash chain over the complete blocks of a prompt.
 *
 * <p>The hash at position {@code i} covers blocks 0 to {@code i}, so (collisions aside) it is equal for two prompts if
 * and only if they share that prefix. The hashes do not depend on the process that computes them.
 */
public final class PromptPrefix {

    /** Size of a hashed block, in bytes. */
    public static final int BLOCK_BYTES = 256;

    /**
     * Maximum length of a chain. 16 KiB of prefix suffice to distinguish upstreams, and the limit bounds the cost of a
     * routing decision.
     */
    public static final int MAX_BLOCKS = 64;

    private static final PromptPrefix NONE = new PromptPrefix(new long[0]);
    private static final long CHAIN_FACTOR = 0x9e3779b97f4a7c15L;

    private final long[] hashes;

    private PromptPrefix(long[] hashes) {
        this.hashes = hashes;
    }

    /**
     * Returns the empty chain, used for requests without a prompt.
     *
     * @return a chain without blocks
     */
    public static PromptPrefix none() {
        return NONE;
    }

    /**
     * Hashes the complete blocks of a prompt.
     *
     * @param prompt bytes of the prompt
     * @return the chain, of at most {@link #MAX_BLOCKS} hashes
     */
    public static PromptPrefix ofPrompt(byte[] prompt) {
        int blocks = Math.min(MAX_BLOCKS, prompt.length / BLOCK_BYTES);
        long[] hashes = new long[blocks];
        long chain = 0;
        for (int block = 0; block < blocks; block++) {
            chain = LongHashFunction.xx(chain * CHAIN_FACTOR).hashBytes(prompt, block * BLOCK_BYTES, BLOCK_BYTES);
            hashes[block] = chain;
        }
        return new PromptPrefix(hashes);
    }

    /**
     * Wraps precomputed hashes, of which at most {@link #MAX_BLOCKS} are kept.
     *
     * @param chain the hashes, shortest prefix first
     * @return the chain, of at most {@link #MAX_BLOCKS} hashes
     */
    public static PromptPrefix ofHashes(long... chain) {
        return new PromptPrefix(Arrays.copyOf(chain, Math.min(MAX_BLOCKS, chain.length)));
    }

    /**
     * Returns the number of hashed blocks.
     *
     * @return the length of the chain
     */
    public int blocks() {
        return hashes.length;
    }

    /**
     * Returns the hash of the prefix that ends with the given block.
     *
     * @param block index of the last block that the hash covers
     * @return the hash of blocks 0 to {@code block}
     */
    public long hash(int block) {
        return hashes[block];
    }
}
