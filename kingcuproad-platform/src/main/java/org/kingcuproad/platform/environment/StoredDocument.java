package org.kingcuproad.platform.environment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.kingcuproad.config.CanonicalJson;
import org.kingcuproad.config.EnvironmentDocumentReader;
import org.kingcuproad.config.json.DocumentInvalidException;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.model.Stage;
import org.kingcuproad.model.VersionedDocument;
import org.kingcuproad.platform.StoredObject;

/**
 * A document as the store keeps it: one line of JSON with the latest operations, then the text, compressed if it is
 * long.
 */
public final class StoredDocument {

    /**
     * A writer recognises its write among this many later ones. At 4,800 changes a day and environment, 16 changes take
     * 5 minutes on average, and a writer gives up much earlier.
     */
    private static final int KEPT_OPERATIONS = 16;

    /** Shorter texts stay readable in the store. The two-year size does not fit into 1 MB without compression. */
    private static final int COMPRESS_ABOVE_BYTES = 256 << 10;

    /** Longest text, in bytes; it bounds the memory that a compressed object can ask for. */
    static final int MAX_TEXT_BYTES = 8 << 20;

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String GZIP = "gzip";
    private static final String PLAIN = "plain";

    private final List<Operation> operations;
    private final byte[] text;

    private StoredDocument(List<Operation> operations, byte[] text) {
        this.operations = operations;
        this.text = text;
    }

    /**
     * Returns the key of a stage.
     *
     * @param environment name of the environment
     * @param stage the stage
     * @return the object key
     */
    public static String key(String environment, Stage stage) {
        return "environments/" + environment + "/" + stage.label();
    }

    /**
     * Makes the first document of a stage.
     *
     * @param text the document
     * @param operationId identifier of the write
     * @return the stored form
     */
    public static StoredDocument first(byte[] text, String operationId) {
        return new StoredDocument(List.of(new Operation(operationId, 0)), text);
    }

    /**
     * Decodes the value of an object.
     *
     * @param value the value
     * @return the stored document
     * @throws KingcuproadException if the value is no stored document
     */
    public static StoredDocument decode(byte[] value) throws KingcuproadException {
        int headerEnd = 0;
        while (headerEnd < value.length && value[headerEnd] != '\n') {
            headerEnd++;
        }
        try {
            JsonNode header = MAPPER.readTree(value, 0, headerEnd);
            List<Operation> operations = new ArrayList<>();
            for (JsonNode operation : header.path("operations")) {
                operations.add(new Operation(
                        operation.path("operationId").asText(),
                        operation.path("baseRevision").asLong()));
            }
            if (headerEnd == value.length || operations.isEmpty()) {
                throw new KingcuproadException(ErrorKind.INTERNAL, "the stored document has no operations");
            }
            byte[] body = Arrays.copyOfRange(value, headerEnd + 1, value.length);
            boolean compressed = header.path("encoding").asText().equals(GZIP);
            return new StoredDocument(operations, compressed ? decompress(body) : body);
        } catch (IOException failure) {
            throw new KingcuproadException(ErrorKind.INTERNAL, "the stored document is damaged", failure);
        }
    }

    /**
     * Decodes an object into the document that it carries.
     *
     * @param object the object of a stage
     * @return the document with its revision
     * @throws KingcuproadException if the value is no stored document, or the document has mistakes
     */
    public static VersionedDocument read(StoredObject object) throws KingcuproadException {
        StoredDocument stored = decode(object.value());
        return new VersionedDocument(
                EnvironmentDocumentReader.read(stored.text()), object.version(), stored.operationId());
    }

    /**
     * Returns the successor of this document.
     *
     * @param newText the new document
     * @param operationId identifier of the write
     * @param baseRevision revision of this document
     * @return the stored form, which also carries the latest operations of this one
     */
    public StoredDocument next(byte[] newText, String operationId, long baseRevision) {
        Operation newest = new Operation(operationId, baseRevision);
        List<Operation> latest = Stream.concat(Stream.of(newest), operations.stream())
                .limit(KEPT_OPERATIONS)
                .toList();
        return new StoredDocument(latest, newText);
    }

    /**
     * Returns the value for the store.
     *
     * @return the bytes
     */
    public byte[] encode() {
        boolean compress = text.length > COMPRESS_ABOVE_BYTES;
        ObjectNode header = MAPPER.createObjectNode().put("encoding", compress ? GZIP : PLAIN);
        ArrayNode list = header.putArray("operations");
        operations.forEach(operation -> list.addObject()
                .put("operationId", operation.operationId())
                .put("baseRevision", operation.baseRevision()));
        ByteArrayOutputStream value = new ByteArrayOutputStream();
        value.writeBytes((header + "\n").getBytes(StandardCharsets.UTF_8));
        value.writeBytes(compress ? compress(text) : text);
        return value.toByteArray();
    }

    /**
     * Returns the document text: as the operator wrote it in the trial stage, in canonical form in production.
     *
     * @return the text, which must not be changed
     */
    public byte[] text() {
        return text;
    }

    /**
     * Returns the identifier of the latest write.
     *
     * @return the operation id
     */
    public String operationId() {
        return operations.get(0).operationId();
    }

    /**
     * Looks for a write among the latest ones.
     *
     * @param operationId identifier of the write
     * @param revision revision of this document
     * @return the revision that the write made, or empty if it is not among them
     */
    public OptionalLong revisionOf(String operationId, long revision) {
        long made = revision;
        for (Operation operation : operations) {
            if (operation.operationId().equals(operationId)) {
                return OptionalLong.of(made);
            }
            made = operation.baseRevision();
        }
        return OptionalLong.empty();
    }

    /**
     * Returns the document's canonical form.
     *
     * @return the canonical JSON
     * @throws DocumentInvalidException if the document has mistakes
     */
    public byte[] canonicalText() throws DocumentInvalidException {
        return CanonicalJson.of(text);
    }

    private static byte[] compress(byte[] plain) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(compressed)) {
            gzip.write(plain);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return compressed.toByteArray();
    }

    private static byte[] decompress(byte[] compressed) throws IOException {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            byte[] plain = gzip.readNBytes(MAX_TEXT_BYTES + 1);
            if (plain.length > MAX_TEXT_BYTES) {
                throw new IOException("the text exceeds " + MAX_TEXT_BYTES + " bytes");
            }
            return plain;
        }
    }
}
