package org.kingcuproad.daemon;

/** Entry point of the {@code kingcuproad} binary. */
public final class KingcuproadMain {

    private KingcuproadMain() {}

    /**
     * Runs the daemon.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        System.exit(2);
    }
}
