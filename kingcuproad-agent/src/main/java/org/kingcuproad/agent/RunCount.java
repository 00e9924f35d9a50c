package org.kingcuproad.agent;

/** Counts the runs of an agent and tells when it leaves. Used on the event loop of the agent. */
final class RunCount {

    private final Runnable onIdle;
    private int running;
    private boolean leaving;

    RunCount(Runnable onIdle) {
        this.onIdle = onIdle;
    }

    int running() {
        return running;
    }

    boolean leaving() {
        return leaving;
    }

    void started() {
        running++;
    }

    void ended() {
        running--;
        tellIdle();
    }

    void leave() {
        leaving = true;
        tellIdle();
    }

    private void tellIdle() {
        if (leaving && running == 0) {
            onIdle.run();
        }
    }
}
