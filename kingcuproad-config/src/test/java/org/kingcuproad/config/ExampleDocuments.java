package org.kingcuproad.config;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Finds the files outside the modules that the tests check. */
final class ExampleDocuments {

    static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    private ExampleDocuments() {}

    static byte[] read(String organisation) {
        try {
            return Files.readAllBytes(
                    ROOT.resolve("examples").resolve(organisation).resolve("environment.jsonc"));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
