package org.kingcuproad.ctl;

/** Entry point of the {@code kingcuproadctl} binary. */
public final class KingcuproadctlMain {

    private KingcuproadctlMain() {}

    /**
     * Runs the ctl.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        System.exit(2);
    }
}
