package org.kingcuproad.config;

import static org.kingcuproad.config.json.Field.optional;
import static org.kingcuproad.config.json.Field.required;
import static org.kingcuproad.config.json.Shapes.emptyList;
import static org.kingcuproad.config.json.Shapes.emptyObject;
import static org.kingcuproad.config.json.Shapes.name;
import static org.kingcuproad.config.json.Shapes.valueOf;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import org.kingcuproad.config.json.BooleanShape;
import org.kingcuproad.config.json.IntegerShape;
import org.kingcuproad.config.json.ListShape;
import org.kingcuproad.config.json.NumberShape;
import org.kingcuproad.config.json.ObjectShape;
import org.kingcuproad.config.json.Shapes;
import org.kingcuproad.config.json.TextShape;

/** Describes the members of an environment document, their ranges and defaults. */
public final class DocumentShape {

    /** Name of the member that points an editor to the schema; the reader ignores it. */
    static final String SCHEMA_KEY = "$schema";

    private static final String SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema";
    private static final TextShape MODEL_NAME = TextShape.matching(
            "[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}", "a model name of 1 to 128 letters, digits and . _ : / -");
    private static final TextShape PATH_PREFIX =
            TextShape.matching("/[A-Za-z0-9._~/-]{0,255}", "a path prefix that starts with /");

    /** Design section 1.8 bounds extra attempts at 10% of requests, so no document may raise the ratio above that. */
    private static final double MAX_RETRY_BUDGET_RATIO = 0.1;

    private static final ObjectShape MODEL = ObjectShape.of(
            required("name", "Name that callers use", MODEL_NAME),
            optional(
                    "timeToFirstTokenMs",
                    "Objective for the first token, in milliseconds",
                    Shapes.deadlineMs(),
                    valueOf(1_700)),
            optional(
                    "timeBetweenTokensMs",
                    "Objective between tokens, in milliseconds",
                    new IntegerShape(1, 60_000),
                    valueOf(33)),
            optional(
                    "deadlineMs",
                    "Time allowed for a whole answer, in milliseconds",
                    Shapes.deadlineMs(),
                    valueOf(120_000)));

    private static final ObjectShape MODEL_GROUP = ObjectShape.of(
            required("name", "Unique name of the group", name()),
            required("model", "Name of the model that the group runs", MODEL_NAME),
            required("ranks", "Number of ranks", new IntegerShape(1, 4_096)),
            required("layers", "Number of expert layers", new IntegerShape(1, 1_024)),
            required("expertsPerLayer", "Experts of each layer", new IntegerShape(1, 4_096)),
            required("slotsPerRank", "Expert slots of each rank in each layer", new IntegerShape(1, 4_096)));

    private static final ObjectShape ROUTE = ObjectShape.of(
            required("pathPrefix", "Prefix of the request paths that the route covers", PATH_PREFIX),
            required(
                    "methods",
                    "HTTP methods",
                    new ListShape(TextShape.oneOf("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"), 1)),
            required("idempotent", "Whether a request may run more than once", new BooleanShape()),
            optional(
                    "deadlineMs",
                    "Time allowed for a whole answer, in milliseconds",
                    Shapes.deadlineMs(),
                    valueOf(30_000)));

    private static final ObjectShape SERVICE = ObjectShape.of(
            required("name", "Unique name of the service", name()),
            required("routes", "Routes of the service", new ListShape(ROUTE, 1)));

    private static final ObjectShape UPSTREAM = ObjectShape.of(
            required("name", "Unique name of the upstream", name()),
            required("vm", "Name of its VM in the platform's list", name()),
            required("dataCentre", "Data centre of the VM", name()),
            required("kind", "What the upstream serves", TextShape.oneOf("model", "service")),
            required("group", "Name of its model group, or of its service", name()),
            optional(
                    "maxConcurrent",
                    "Requests that may run on it at the same time",
                    new IntegerShape(1, 100_000),
                    valueOf(32)),
            optional(
                    "checksFencing",
                    "Whether the engine itself refuses commands with an old fencing token",
                    new BooleanShape(),
                    valueOf(false)));

    private static final ObjectShape WORKSPACE = ObjectShape.of(
            required("name", "Unique name of the workspace", name()),
            required("credentialSha256", "SHA-256 of the bearer credential", Shapes.credentialSha256()),
            optional(
                    "weight",
                    "Share of the capacity relative to other workspaces",
                    new IntegerShape(1, 10_000),
                    valueOf(1)),
            optional(
                    "maxInFlight",
                    "Requests that one entry runs at the same time",
                    new IntegerShape(1, 100_000),
                    valueOf(64)));

    private static final ObjectShape LIMITS = ObjectShape.of(
            optional(
                    "maxBodyBytes",
                    "Largest request body, in bytes",
                    new IntegerShape(1_024, 64 << 20),
                    valueOf(1 << 20)),
            optional(
                    "maxHeaderBytes",
                    "Largest request header block, in bytes",
                    new IntegerShape(1_024, 1 << 20),
                    valueOf(16 << 10)),
            optional(
                    "maxQueuedPerWorkspace",
                    "Requests of one workspace that may wait at one entry",
                    new IntegerShape(1, 100_000),
                    valueOf(256)),
            optional(
                    "retryBudgetRatio",
                    "Attempts beyond the first, as a ratio of requests",
                    new NumberShape(0, MAX_RETRY_BUDGET_RATIO),
                    valueOf(MAX_RETRY_BUDGET_RATIO)),
            optional(
                    "drainNoticeSeconds",
                    "Time between failing readiness and refusing new requests, in seconds",
                    new IntegerShape(0, 600),
                    valueOf(10)),
            optional(
                    "drainLimitSeconds",
                    "Longest wait for requests in progress at shutdown, in seconds",
                    new IntegerShape(1, 86_400),
                    valueOf(300)),
            optional(
                    "claimRetentionSeconds",
                    "Time after which the claim of an idempotency key expires, in seconds",
                    new IntegerShape(60, 86_400),
                    valueOf(3_600)));

    private static final ObjectShape PLACEMENT = ObjectShape.of(
            required("skewWeight", "Weight of step-time skew", new NumberShape(0, 1_000)),
            required("rebalanceWeight", "Weight of the cost of moves", new NumberShape(0, 1_000)),
            optional(
                    "paybackHorizonSeconds",
                    "Time within which a move must pay back, in seconds",
                    new IntegerShape(1, 604_800),
                    valueOf(600)),
            required(
                    "weightStoreBytesPerSecond",
                    "Rate allowed at the weight store, in bytes a second",
                    new IntegerShape(1, 1L << 50)),
            required(
                    "expertBytes",
                    "Size of the weights of one expert of one layer, in bytes",
                    new IntegerShape(1, 1L << 50)));

    /** Shape of the whole document. */
    static final ObjectShape DOCUMENT = ObjectShape.of(
            optional(
                    SCHEMA_KEY,
                    "Where an editor finds this schema; not part of the document",
                    TextShape.matching("[^\\r\\n]{0,1024}", "a text of at most 1024 characters"),
                    TextNode.valueOf("")),
            required("environment", "Name of the environment", name()),
            required("region", "Region of the data centres", name()),
            required("dataCentres", "Names of the data centres", new ListShape(name(), 1)),
            optional("models", "Models that callers may name", new ListShape(MODEL, 0), emptyList()),
            optional("modelGroups", "Groups that run the models", new ListShape(MODEL_GROUP, 0), emptyList()),
            optional("services", "Plain services", new ListShape(SERVICE, 0), emptyList()),
            optional("upstreams", "Servers of the groups and services", new ListShape(UPSTREAM, 0), emptyList()),
            optional("workspaces", "Customers under the shared account", new ListShape(WORKSPACE, 0), emptyList()),
            optional("limits", "Limits on requests and waits", LIMITS, emptyObject()),
            required("placement", "Weights and bounds of expert placement", PLACEMENT));

    private DocumentShape() {}

    /**
     * Returns the JSON schema that editors check a document with. It does not cover the references between parts of the
     * document, which only the reader checks.
     *
     * @return the schema
     */
    public static ObjectNode schema() {
        ObjectNode schema = JsonNodeFactory.instance
                .objectNode()
                .put("$schema", SCHEMA_DIALECT)
                .put("title", "Environment document of kingcuproad");
        schema.setAll(DOCUMENT.schema());
        return schema;
    }
}
