package org.kingcuproad.config;

import com.fasterxml.jackson.databind.JsonNode;
import org.kingcuproad.config.json.CommentedJson;
import org.kingcuproad.config.json.DocumentInvalidException;
import org.kingcuproad.config.json.JsonPath;
import org.kingcuproad.config.json.Mistakes;
import org.kingcuproad.model.EnvironmentDocument;

/** Reads environment documents: JSON with comments, checked as a whole. */
public final class EnvironmentDocumentReader {

    private EnvironmentDocumentReader() {}

    /**
     * Reads a document. Lists whose order has no meaning are sorted, see {@link CanonicalJson}.
     *
     * @param content the document, in UTF-8
     * @return the document, with defaults filled in
     * @throws DocumentInvalidException if the document has mistakes; it lists all of them
     */
    public static EnvironmentDocument read(byte[] content) throws DocumentInvalidException {
        Mistakes mistakes = new Mistakes();
        JsonNode parsed = CommentedJson.parse(content, mistakes);
        JsonNode checked = DocumentShape.DOCUMENT.check(parsed, JsonPath.ROOT, mistakes);
        DocumentReferences.check(parsed, mistakes);
        mistakes.throwIfAny();
        return CanonicalOrder.sort(DocumentBinder.bind(checked));
    }
}
