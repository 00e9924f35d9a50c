package org.kingcuproad.experiment.routing;

import org.kingcuproad.policy.routing.PromptPrefix;

/**
 * One request of the workload.
 *
 * @param number number of the request
 * @param workspace index of its workspace
 * @param prefix hash chain over its prompt
 * @param outputTokens tokens of the response
 */
record Prompt(int number, int workspace, PromptPrefix prefix, int outputTokens) {

    /** Tokens of one block of 256 bytes, at four bytes a token. */
    static final int TOKENS_PER_BLOCK = 64;

    int promptTokens() {
        return prefix.blocks() * TOKENS_PER_BLOCK;
    }
}
