package org.kingcuproad.ctl.load;

/** Checks the body of one successful response while it arrives. */
sealed interface BodyCheck permits PlainCheck, ServiceCheck, StreamCheck {

    /**
     * Takes the next part of the body.
     *
     * @param data bytes in order of arrival
     * @return number of tokens that the part completes
     */
    int accept(byte[] data);

    /**
     * Judges the response after its last byte.
     *
     * @return the first fault found, or {@link Completeness#COMPLETE}
     */
    Completeness end();
}
