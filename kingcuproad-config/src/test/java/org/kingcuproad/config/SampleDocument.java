package org.kingcuproad.config;

import java.nio.charset.StandardCharsets;

/** A small valid document for tests, to be edited by replacing parts of its text. */
final class SampleDocument {

    static final String CREDENTIAL = "0123456789abcdef".repeat(4);

    static final String TEXT = """
            {
              // The whole document in its shortest form.
              "environment": "sample",
              "region": "new-england",
              "dataCentres": ["lowell", "lawrence"],
              "models": [{"name": "draft-1"}],
              "modelGroups": [
                {"name": "g1", "model": "draft-1", "ranks": 4, "layers": 2, "expertsPerLayer": 8, "slotsPerRank": 3}
              ],
              "services": [
                {"name": "orders", "routes": [{"pathPrefix": "/orders", "methods": ["POST"], "idempotent": false}]}
              ],
              "upstreams": [
                {"name": "u1", "vm": "vm-1", "dataCentre": "lowell", "kind": "model", "group": "g1"},
                {"name": "s1", "vm": "vm-2", "dataCentre": "lawrence", "kind": "service", "group": "orders"}
              ],
              "workspaces": [{"name": "clerks", "credentialSha256": "%s"}],
              "placement": {
                "skewWeight": 2, "rebalanceWeight": 0.5,
                "weightStoreBytesPerSecond": 1000000000, "expertBytes": 1000000
              }
            }
            """.formatted(CREDENTIAL);

    private SampleDocument() {}

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
