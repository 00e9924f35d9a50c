package org.kingcuproad.policy.routing;

import java.util.Arrays;
import net.openhft.hashing.LongHashFunction;

/**
 * Hash chain over the whole blocks of a prompt.
 *
 * <p>The hash at position {@code i} covers blocks 0 to {@code i}, so two prompts share it if and only if (collisions
 * aside) they share that prefix. The hashes are equal in every process.
 */
public final class PromptPrefix {

    /** Bytes of one block. */
    public static final int BLOCK_BYTES = 256;

    /** Longest chain; 16 KiB of shared prefix tell upstreams apart, and the limit bounds the cost of a decision. */
    public static final int MAX_BLOCKS = 64;

    private static final PromptPrefix NONE = new PromptPrefix(new long[0]);
    private static final long CHAIN_FACTOR = 0x9e3779b97f4a7c15L;

    private final long[] hashes;

    private PromptPrefix(long[] hashes) {
        this.hashes = hashes;
    }

    /**
     * Returns the prefix of a request without a prompt.
     *
     * @return a prefix without blocks
     */
    public static PromptPrefix none() {
        return NONE;
    }

    /**
     * Hashes the whole blocks of a prompt.
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
     * Takes a chain that was hashed elsewhere.
     *
     * @param chain the hashes, shortest prefix first
     * @return the chain, of at most {@link #MAX_BLOCKS} hashes
     */
    public static PromptPrefix ofHashes(long... chain) {
        return new PromptPrefix(Arrays.copyOf(chain, Math.min(MAX_BLOCKS, chain.length)));
    }

    /**
     * Returns the number of whole blocks.
     *
     * @return the length of the chain
     */
    public int blocks() {
        return hashes.length;
    }

    /**
     * Returns the hash of a prefix.
     *
     * @param block index of the last block that the hash covers
     * @return the hash of blocks 0 to {@code block}
     */
    public long hash(int block) {
        return hashes[block];
    }
}
