package org.kingcuproad.platform.environment;

import java.util.List;
import org.kingcuproad.config.json.Mistake;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.Stage;

/** What became of a call of the administration API. */
public sealed interface AdminResult {

    /**
     * The document of a stage.
     *
     * @param revision its revision
     * @param document the document
     */
    record Current(long revision, StoredDocument document) implements AdminResult {}

    /**
     * The write took effect, now or by an earlier call with the same operation id.
     *
     * @param revision revision that the write made; later writes may have followed
     */
    record Accepted(long revision) implements AdminResult {}

    /**
     * The stage has another revision than the operator named.
     *
     * @param stage the stage
     * @param expectedRevision revision that the operator named, or 0 for none
     * @param currentRevision revision of the stage, or 0 if it has no document
     */
    record Conflict(Stage stage, long expectedRevision, long currentRevision) implements AdminResult {}

    /**
     * The document has mistakes.
     *
     * @param mistakes all mistakes
     */
    record Invalid(List<Mistake> mistakes) implements AdminResult {

        /**
         * Copies the list, so that the value is immutable.
         *
         * @param mistakes all mistakes
         */
        public Invalid {
            mistakes = List.copyOf(mistakes);
        }
    }

    /**
     * The call was refused for another reason and had no effect.
     *
     * @param kind the kind of the failure
     * @param detail what went wrong
     */
    record Refused(ErrorKind kind, String detail) implements AdminResult {}

    /**
     * The store did not answer in time. Repeat the call with the same operation id to learn the outcome.
     *
     * @param detail what went wrong
     * @param maybeApplied whether the write may have taken effect, or may do so later
     */
    record Unavailable(String detail, boolean maybeApplied) implements AdminResult {}
}
