package org.kingcuproad.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Guards against an editor's schema that allows or refuses other documents than the reader. */
class DocumentSchemaTest {

    private static final String FILE = "environment.schema.json";

    @Test
    void theCommittedSchemaIsTheReadersSchema() throws Exception {
        DefaultPrettyPrinter.Indenter indenter = new DefaultIndenter("  ", "\n");
        DefaultPrettyPrinter printer =
                new DefaultPrettyPrinter().withObjectIndenter(indenter).withArrayIndenter(indenter);
        String schema = new ObjectMapper().writer(printer).writeValueAsString(DocumentShape.schema()) + "\n";
        Path generated = Files.writeString(Path.of("target").resolve(FILE), schema);
        assertThat(ExampleDocuments.ROOT.resolve("docs").resolve(FILE))
                .as("copy %s to docs after a change of DocumentShape", generated)
                .hasContent(schema);
    }
}
