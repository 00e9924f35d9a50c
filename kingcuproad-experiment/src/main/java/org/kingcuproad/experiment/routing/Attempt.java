package org.kingcuproad.experiment.routing;

import org.kingcuproad.policy.routing.PromptPrefix;

/** One attempt of a request at a simulated upstream. */
final class Attempt {

    private final Prompt prompt;
    private final boolean urgent;
    private final Listener listener;
    private int prefillLeft;
    private int tokensLeft;
    private boolean cancelled;

    /**
     * Creates an attempt.
     *
     * @param prompt the request
     * @param urgent whether the engine starts and computes it before attempts that are not urgent
     * @param listener what hears about it
     */
    Attempt(Prompt prompt, boolean urgent, Listener listener) {
        this.prompt = prompt;
        this.urgent = urgent;
        this.listener = listener;
        this.tokensLeft = prompt.outputTokens();
    }

    /** Starts the attempt in a batch; at least one block is always computed, because the last token needs it. */
    void start(int matchedBlocks) {
        int cached = Math.min(matchedBlocks, prompt.prefix().blocks() - 1) * Prompt.TOKENS_PER_BLOCK;
        prefillLeft = prompt.promptTokens() - cached;
    }

    int prefill(int budget) {
        int done = Math.min(budget, prefillLeft);
        prefillLeft -= done;
        return done;
    }

    boolean prefilling() {
        return prefillLeft > 0;
    }

    /** Emits one token and tells whether it was the last. */
    boolean emit() {
        if (tokensLeft == prompt.outputTokens()) {
            listener.onFirstToken(this);
        }
        tokensLeft--;
        return tokensLeft == 0;
    }

    PromptPrefix prefix() {
        return prompt.prefix();
    }

    Listener listener() {
        return listener;
    }

    boolean urgent() {
        return urgent;
    }

    boolean cancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    /** What an entry hears about an attempt. */
    interface Listener {

        /** The first token left the upstream. */
        void onFirstToken(Attempt attempt);

        /** The last token left the upstream. */
        void onCompleted(Attempt attempt);

        /** The attempt failed. */
        void onFailed(Attempt attempt);
    }
}
