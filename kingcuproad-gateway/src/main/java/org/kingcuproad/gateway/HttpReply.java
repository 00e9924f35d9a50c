package org.kingcuproad.gateway;

/** Result of an HTTP call. */
public sealed interface HttpReply {

    /**
     * A complete response.
     *
     * @param status HTTP status
     * @param body response body; must not be modified
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Response(int status, byte[] body) implements HttpReply {

        private static final int STATUS_OK = 200;

        /**
         * Returns whether the call succeeded and the body holds the requested content.
         *
         * @return {@code true} for status 200
         */
        public boolean ok() {
            return status == STATUS_OK;
        }
    }

    /**
     * No complete response arrived; the call may have been carried out.
     *
     * @param reason description of the failure
     */
    record Lost(String reason) implements HttpReply {}
}
