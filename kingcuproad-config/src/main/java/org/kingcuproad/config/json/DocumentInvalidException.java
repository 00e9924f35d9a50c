package org.kingcuproad.config.json;

import java.util.List;
import java.util.stream.Collectors;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;

/** A file has mistakes; all of them are listed. */
public final class DocumentInvalidException extends KingcuproadException {

    private static final long serialVersionUID = 1L;

    private final transient List<Mistake> mistakes;

    /**
     * Creates a failure.
     *
     * @param mistakes all mistakes of the file, at least one
     */
    public DocumentInvalidException(List<Mistake> mistakes) {
        super(ErrorKind.DOCUMENT_INVALID, summary(mistakes));
        this.mistakes = List.copyOf(mistakes);
    }

    /**
     * Returns the mistakes.
     *
     * @return all mistakes, in the order of the file as far as possible
     */
    public List<Mistake> mistakes() {
        return mistakes;
    }

    private static String summary(List<Mistake> mistakes) {
        String count = mistakes.size() == 1 ? "1 mistake: " : mistakes.size() + " mistakes: ";
        return mistakes.stream().map(Mistake::toString).collect(Collectors.joining("; ", count, ""));
    }
}
