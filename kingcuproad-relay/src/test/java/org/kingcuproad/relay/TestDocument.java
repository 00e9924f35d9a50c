package org.kingcuproad.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The committed example document. */
final class TestDocument {

    private TestDocument() {}

    static byte[] text() {
        try {
            return Files.readAllBytes(Path.of("..", "examples", "merrimack", "environment.jsonc"));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
