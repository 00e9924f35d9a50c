package org.kingcuproad.daemon;

import org.kingcuproad.model.KingcuproadException;

/** One role of the {@code kingcuproad} binary; its fields carry JCommander's parameter annotations. */
interface DaemonCommand {

    /**
     * Returns the word that selects the role.
     *
     * @return the name
     */
    String name();

    /**
     * Starts the role.
     *
     * @return stops the role gracefully and returns when it has stopped
     * @throws KingcuproadException if it can't start
     */
    Runnable start() throws KingcuproadException;
}
