package org.kingcuproad.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;

/** Reads the files that are named on the command line. */
final class InputFile {

    private InputFile() {}

    static byte[] read(String name) throws KingcuproadException {
        try {
            return Files.readAllBytes(Path.of(name));
        } catch (IOException | InvalidPathException failure) {
            throw new KingcuproadException(ErrorKind.NOT_FOUND, "cannot read " + name, failure);
        }
    }
}
