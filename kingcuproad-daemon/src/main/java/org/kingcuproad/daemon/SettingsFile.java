package org.kingcuproad.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;

/** Reads settings files. */
final class SettingsFile {

    private SettingsFile() {}

    /**
     * Reads a file.
     *
     * @param file path of the file
     * @return its bytes
     * @throws KingcuproadException if the file can't be read
     */
    static byte[] read(String file) throws KingcuproadException {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException failure) {
            throw new KingcuproadException(ErrorKind.NOT_FOUND, "cannot read " + file, failure);
        }
    }
}
