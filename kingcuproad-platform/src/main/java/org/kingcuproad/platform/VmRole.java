package org.kingcuproad.platform;

/** What runs on a VM. */
public enum VmRole {

    /** An entry. */
    ENTRY,

    /** An upstream with its agent. */
    UPSTREAM
}
