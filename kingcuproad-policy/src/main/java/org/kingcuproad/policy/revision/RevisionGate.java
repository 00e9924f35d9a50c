package org.kingcuproad.policy.revision;

/** Accepts only increasing revisions of a document, so that the revision in force never goes back. */
public final class RevisionGate {

    private long revision;

    /**
     * Accepts a document if its revision is greater than the one in force, which it then replaces.
     *
     * @param offered revision of the document
     * @return whether the document is to be applied
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
     * @return the revision, or 0 before the first document
     */
    public long revision() {
        return revision;
    }
}
