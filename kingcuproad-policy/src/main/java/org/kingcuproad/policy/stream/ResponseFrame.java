package org.kingcuproad.policy.stream;

import java.util.List;
import org.kingcuproad.model.ErrorKind;

/** A frame of a response sent from the agent to the entry. */
public sealed interface ResponseFrame {

    /**
     * Status and headers, which precede the first chunk.
     *
     * @param status HTTP status
     * @param headers header fields in order
     */
    record Head(int status, List<HeaderField> headers) implements ResponseFrame {

        /**
         * Copies the list defensively to keep this record immutable.
         *
         * @param status HTTP status
         * @param headers header fields in order
         */
        public Head {
            headers = List.copyOf(headers);
        }
    }

    /**
     * A contiguous part of the body.
     *
     * @param offset offset of the first byte in the body
     * @param data the bytes
     */
    record Chunk(long offset, Bytes data) implements ResponseFrame {

        /**
         * Returns the offset just past the last byte.
         *
         * @return the end offset in the body, exclusive
         */
        public long endOffset() {
            return offset + data.length();
        }
    }

    /**
     * Marks the end of a response; without it the response is incomplete.
     *
     * @param length total length of the body in bytes
     */
    record End(long length) implements ResponseFrame {}

    /**
     * The response failed at the agent.
     *
     * @param kind error kind, whose execution status indicates whether the request was executed
     * @param detail description of the failure
     */
    record Failure(ErrorKind kind, String detail) implements ResponseFrame {}
}
