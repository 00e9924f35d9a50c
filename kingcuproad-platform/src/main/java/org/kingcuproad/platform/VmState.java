package org.kingcuproad.platform;

/** Whether a VM stays. */
public enum VmState {

    /** The VM runs. */
    LIVE,

    /** The VM is about to be stopped. */
    LEAVING
}
