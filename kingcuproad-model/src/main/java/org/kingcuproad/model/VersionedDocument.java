package org.kingcuproad.model;

/**
 * An environment document with its revision.
 *
 * @param document the document
 * @param revision version of the store object, which only increases
 * @param operationId identifier of the write that made the revision
 */
public record VersionedDocument(EnvironmentDocument document, long revision, String operationId) {

    /**
     * Tells whether this revision replaces another.
     *
     * @param otherRevision the revision in force
     * @return {@code true} if this revision is greater
     */
    public boolean supersedes(long otherRevision) {
        return revision > otherRevision;
    }
}
