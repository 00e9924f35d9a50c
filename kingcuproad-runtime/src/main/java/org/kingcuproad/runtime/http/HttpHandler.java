package org.kingcuproad.runtime.http;

/** Answers HTTP requests. Called on the event loop of the connection, so it must not block. */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Answers one request, at once or later from any thread.
     *
     * @param exchange the request and the means to answer it
     */
    void handle(HttpExchange exchange);
}
