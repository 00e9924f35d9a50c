package org.kingcuproad.ctl;

import java.util.Map;

/**
 * A call of the administration API.
 *
 * @param method HTTP method
 * @param path path of the call
 * @param query query parameters
 * @param headers request headers
 * @param body request body, empty if there is none
 */
record AdminCall(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {

    private static final byte[] NO_BODY = {};

    static AdminCall get(String path) {
        return new AdminCall("GET", path, Map.of(), Map.of(), NO_BODY);
    }

    AdminCall withQuery(Map<String, String> newQuery) {
        return new AdminCall(method, path, newQuery, headers, body);
    }
}
