package org.kingcuproad.platform;

/** A running watch. */
public interface Watch {

    /** Ends the watch and closes its connection. An event that is being delivered may still arrive. */
    void cancel();
}
