package org.kingcuproad.entry.coordinator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.ReadResult;
import org.kingcuproad.platform.SettlingWriter;
import org.kingcuproad.platform.StoredObject;
import org.kingcuproad.platform.WriteResult;
import org.kingcuproad.policy.mapswitch.SwitchId;

/**
 * Reads and writes the map objects of the groups in the store. The object version of the write that adds a target
 * becomes the map version, so a map version identifies the content of one map; a second write records that the map is
 * in force.
 */
final class MapRepository {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Maximum time to determine the result of a write whose response was lost, in milliseconds; the caller repeats a
     * write that is unresolved by then.
     */
    private static final long SETTLE_LIMIT_MS = 5_000;

    private final ObjectStore store;
    private final SettlingWriter writer;
    private final String prefix;

    /**
     * Creates a repository.
     *
     * @param prefix common prefix of the keys
     */
    MapRepository(ObjectStore store, String prefix) {
        this.store = store;
        this.writer = new SettlingWriter(store, SETTLE_LIMIT_MS);
        this.prefix = prefix;
    }

    /**
     * Writes the target map of a group. A conflict means that another coordinator wrote the object, or that the object
     * holds a higher fencing token.
     */
    CompletableFuture<WriteResult> writeTarget(String group, long fence, MapTarget target) {
        String key = prefix + group;
        return read(key).thenCompose(current -> {
            if (current.unavailable()) {
                return unavailable();
            }
            ObjectNode content = current.content();
            if (content.path("fence").asLong() > fence) {
                return CompletableFuture.completedFuture(new WriteResult.VersionConflict(current.version()));
            }
            content.put("fence", fence);
            content.set("target", toJson(target));
            return write(key, current.version(), content);
        });
    }

    /**
     * Records that a map is in force, unless a newer one already is. The fencing token is not compared, because a
     * switch that all ranks promised is final, regardless of which coordinator records it.
     */
    CompletableFuture<WriteResult> recordInForce(String group, SwitchId id, MapTarget target) {
        String key = prefix + group;
        return read(key).thenCompose(current -> {
            if (current.unavailable()) {
                return unavailable();
            }
            ObjectNode content = current.content();
            if (content.path("inForce").path("mapVersion").asLong() >= id.mapVersion()) {
                return CompletableFuture.completedFuture(new WriteResult.Written(current.version()));
            }
            content.set("inForce", toJson(target).put("mapVersion", id.mapVersion()));
            if (current.version() == id.mapVersion()) {
                content.remove("target");
            }
            return write(key, current.version(), content);
        });
    }

    private CompletableFuture<StoredMap> read(String key) {
        return store.get(key).thenApply(result -> switch (result) {
            case ReadResult.Found found -> new StoredMap(found.object().version(), false, parse(found.object()));
            case ReadResult.Absent ignored -> new StoredMap(0, false, MAPPER.createObjectNode());
            case ReadResult.Unavailable ignored -> new StoredMap(0, true, MAPPER.createObjectNode());
        });
    }

    private CompletableFuture<WriteResult> write(String key, long version, ObjectNode content) {
        String operation = UUID.randomUUID().toString();
        byte[] value = content.put("operation", operation).toString().getBytes(StandardCharsets.UTF_8);
        return version == 0
                ? writer.create(key, value, found -> appliedVersion(found, operation))
                : writer.update(key, value, version, found -> appliedVersion(found, operation));
    }

    private static OptionalLong appliedVersion(StoredObject found, String operation) {
        return parse(found).path("operation").asText().equals(operation)
                ? OptionalLong.of(found.version())
                : OptionalLong.empty();
    }

    private static CompletableFuture<WriteResult> unavailable() {
        return CompletableFuture.completedFuture(new WriteResult.Unavailable("the map object cannot be read", false));
    }

    private static ObjectNode toJson(MapTarget target) {
        ObjectNode node = MAPPER.createObjectNode()
                .put("switchStep", target.switchStep())
                .put("slotsPerLayer", target.slotsPerLayer());
        var experts = node.putArray("expertOfSlot");
        target.expertOfSlot().forEach(experts::add);
        return node;
    }

    private static ObjectNode parse(StoredObject object) {
        try {
            JsonNode content = MAPPER.readTree(object.value());
            return content instanceof ObjectNode node ? node : MAPPER.createObjectNode();
        } catch (IOException failure) {
            throw new UncheckedIOException("malformed map object " + object.key(), failure);
        }
    }

    private record StoredMap(long version, boolean unavailable, ObjectNode content) {}
}
