package org.kingcuproad.policy.revision;

/** Lets only greater revisions of a document through, so that the one in force never reverts. */
public final class RevisionGate {

    private long revision;

    /**
     * Tells whether a document is to be applied, and counts it as applied if so.
     *
     * @param offered revision of the document
     * @return {@code true} if it is greater than the one in force
     */
    public boolean admit(long offered) {
        if (offered <= revision) {
            return false;
        }
        revision = offered;
        return true;
    }

    /**
     * Returns the revision in force.
     *
     * @return the revision, or zero before the first
     */
    public long revision() {
        return revision;
    }
}
