package org.kingcuproad.emulator.engine;

/** Decides when a run produces its next token. Used on the event loop of the engine. */
@FunctionalInterface
interface TokenPace {

    /**
     * Lets an action run when the next token is due.
     *
     * @param action produces the token
     */
    void onNextToken(Runnable action);
}
