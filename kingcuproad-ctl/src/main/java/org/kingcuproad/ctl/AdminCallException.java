package org.kingcuproad.ctl;

import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;

/** The administration API refused a call. */
final class AdminCallException extends KingcuproadException {

    private static final long serialVersionUID = 1L;

    private final String problem;

    AdminCallException(ErrorKind kind, String detail, String problem) {
        super(kind, detail);
        this.problem = problem;
    }

    /** Returns the whole answer as JSON, with the revisions of a conflict and the mistakes of a document. */
    String problem() {
        return problem;
    }
}
