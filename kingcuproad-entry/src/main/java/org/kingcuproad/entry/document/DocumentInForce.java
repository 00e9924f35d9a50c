package org.kingcuproad.entry.document;

import org.kingcuproad.entry.request.Authenticator;
import org.kingcuproad.model.VersionedDocument;

/**
 * The document in force at this entry, with the values that are derived from it once.
 *
 * @param versioned the document and its revision
 * @param authenticator looks up workspaces by credential
 */
public record DocumentInForce(VersionedDocument versioned, Authenticator authenticator) {

    /**
     * Derives the values of a document.
     *
     * @param versioned the document and its revision
     * @return the document with its derived values
     */
    public static DocumentInForce of(VersionedDocument versioned) {
        return new DocumentInForce(versioned, new Authenticator(versioned.document()));
    }
}
