package org.kingcuproad.agent;

import java.util.List;
import java.util.Map;

/** Callbacks for one request to the upstream, invoked on the event loop of the agent. */
interface UpstreamListener {

    /** Called just before the request is written; from then on it may be executed. */
    void onSend();

    /**
     * Called with the response head.
     *
     * @param status HTTP status code
     * @param headers headers that are forwarded, without hop-by-hop headers
     */
    void onHead(int status, List<Map.Entry<String, String>> headers);

    /**
     * Called with each part of the response body.
     *
     * @param data the bytes
     */
    void onBody(byte[] data);

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called when the request failed or its response is incomplete.
     *
     * @param failure cause of the failure
     */
    void onFailure(Throwable failure);
}
