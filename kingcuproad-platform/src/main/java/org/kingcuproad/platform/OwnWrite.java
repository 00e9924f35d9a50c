package org.kingcuproad.platform;

import java.util.OptionalLong;

/** Recognises the caller's own write in an object that is read back after a lost response. */
@FunctionalInterface
public interface OwnWrite {

    /**
     * Looks for the caller's operation id in an object.
     *
     * @param found the object as it is now, possibly after later writes by others
     * @return the version that the caller's write made, or empty if the object shows no trace of it
     */
    OptionalLong appliedVersion(StoredObject found);
}
