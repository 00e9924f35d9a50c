package org.kingcuproad.agent;

import java.util.List;
import java.util.Map;

/** Receives the parts of an upstream's response, on the event loop of the agent. */
interface UpstreamListener {

    /** Tells that the request is about to be written, so that from now on it may run. */
    void onSend();

    /**
     * Tells the head.
     *
     * @param status HTTP status code
     * @param headers headers without the hop-by-hop ones
     */
    void onHead(int status, List<Map.Entry<String, String>> headers);

    /**
     * Tells a part of the body.
     *
     * @param data the bytes
     */
    void onBody(byte[] data);

    /** Tells that the whole response arrived. */
    void onComplete();

    /**
     * Tells that the response will not arrive wholly.
     *
     * @param failure what went wrong
     */
    void onFailure(Throwable failure);
}
