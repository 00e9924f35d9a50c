package org.kingcuproad.platform.environment;

import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.kingcuproad.config.EnvironmentDocumentReader;
import org.kingcuproad.config.json.DocumentInvalidException;
import org.kingcuproad.config.json.JsonPath;
import org.kingcuproad.config.json.Mistakes;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.model.Stage;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.OwnWrite;
import org.kingcuproad.platform.ReadResult;
import org.kingcuproad.platform.SettlingWriter;
import org.kingcuproad.platform.StoredObject;
import org.kingcuproad.platform.WriteResult;

/**
 * Tries and promotes environment documents. Any entry may serve it: all state is in the store, and of operators who
 * race with each other one wins.
 *
 * <p>Each write carries an operation id. A call that is repeated with the same id after a lost answer gets the answer
 * of the first one. The futures complete on the event loop of the store's client.
 */
public final class EnvironmentAdmin {

    /** An operator waits at the terminal; after this time the answer tells to repeat the call. */
    private static final long SETTLE_LIMIT_MS = 5_000;

    private static final Pattern OPERATION_ID = Pattern.compile("[A-Za-z0-9-]{1,64}");
    private static final Pattern ENVIRONMENT = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    private final ObjectStore store;
    private final SettlingWriter writer;

    /**
     * Creates the administration of all environments of a platform.
     *
     * @param store the store
     */
    public EnvironmentAdmin(ObjectStore store) {
        this.store = store;
        this.writer = new SettlingWriter(store, SETTLE_LIMIT_MS);
    }

    /**
     * Reads the document of a stage.
     *
     * @param environment name of the environment
     * @param stage the stage
     * @return {@code Current}, {@code Refused} with {@code not-found}, or {@code Unavailable}
     */
    public CompletableFuture<AdminResult> read(String environment, Stage stage) {
        if (!ENVIRONMENT.matcher(environment).matches()) {
            return completed(new AdminResult.Refused(ErrorKind.NOT_FOUND, "no such environment"));
        }
        return withCurrent(
                environment,
                stage,
                current -> completed(
                        current.isEmpty()
                                ? new AdminResult.Refused(
                                        ErrorKind.NOT_FOUND, "the " + stage.label() + " stage has no document")
                                : current.get()));
    }

    /**
     * Replaces the document of the trial stage.
     *
     * @param environment name of the environment
     * @param text the document as the operator wrote it
     * @param expectedRevision revision that the operator edited, or 0 if there was none
     * @param operationId identifier of the write, the same in all repetitions of one call
     * @return what became of the write
     */
    public CompletableFuture<AdminResult> putTrial(
            String environment, byte[] text, long expectedRevision, String operationId) {
        Optional<AdminResult> mistake = check(environment, text, operationId);
        return mistake.isPresent()
                ? completed(mistake.get())
                : replace(environment, Stage.TRIAL, text, expectedRevision, operationId);
    }

    /**
     * Puts the canonical form of a trial document into production.
     *
     * @param environment name of the environment
     * @param trialRevision revision of the trial document that the operator has tried
     * @param productionRevision revision that it replaces, or 0 if there is none
     * @param operationId identifier of the write, the same in all repetitions of one call
     * @return what became of the write; a conflict names the stage whose revision has changed
     */
    public CompletableFuture<AdminResult> promote(
            String environment, long trialRevision, long productionRevision, String operationId) {
        Optional<AdminResult> mistake = checkNames(environment, operationId);
        if (mistake.isPresent()) {
            return completed(mistake.get());
        }
        return withCurrent(environment, Stage.PRODUCTION, production -> {
            // A repeated call is answered by its operation id, even if the trial stage has moved on.
            OptionalLong made = revisionOf(operationId, production);
            return made.isPresent()
                    ? completed(new AdminResult.Accepted(made.getAsLong()))
                    : promoteTrial(environment, trialRevision, productionRevision, operationId);
        });
    }

    private CompletableFuture<AdminResult> promoteTrial(
            String environment, long trialRevision, long productionRevision, String operationId) {
        return withCurrent(environment, Stage.TRIAL, trial -> {
            long current = trial.map(AdminResult.Current::revision).orElse(0L);
            if (trial.isEmpty() || current != trialRevision) {
                return completed(new AdminResult.Conflict(Stage.TRIAL, trialRevision, current));
            }
            try {
                byte[] canonical = trial.get().document().canonicalText();
                return replace(environment, Stage.PRODUCTION, canonical, productionRevision, operationId);
            } catch (DocumentInvalidException failure) {
                return completed(new AdminResult.Invalid(failure.mistakes()));
            }
        });
    }

    private CompletableFuture<AdminResult> replace(
            String environment, Stage stage, byte[] text, long expectedRevision, String operationId) {
        return withCurrent(environment, stage, current -> {
            OptionalLong made = revisionOf(operationId, current);
            if (made.isPresent()) {
                return completed(repeated(current.orElseThrow(), made.getAsLong(), text));
            }
            long currentRevision = current.map(AdminResult.Current::revision).orElse(0L);
            if (currentRevision != expectedRevision) {
                return completed(new AdminResult.Conflict(stage, expectedRevision, currentRevision));
            }
            StoredDocument next = current.map(replaced -> replaced.document().next(text, operationId, expectedRevision))
                    .orElseGet(() -> StoredDocument.first(text, operationId));
            return write(environment, stage, next, expectedRevision);
        });
    }

    private CompletableFuture<AdminResult> write(
            String environment, Stage stage, StoredDocument next, long expectedRevision) {
        byte[] value = next.encode();
        if (value.length > ObjectStore.MAX_VALUE_BYTES) {
            String detail = "the stored form has " + value.length + " bytes, the store takes at most "
                    + ObjectStore.MAX_VALUE_BYTES;
            return completed(new AdminResult.Refused(ErrorKind.BODY_TOO_LARGE, detail));
        }
        String key = StoredDocument.key(environment, stage);
        OwnWrite own = found -> ownRevision(found, next.operationId());
        CompletableFuture<WriteResult> written = expectedRevision == 0
                ? writer.create(key, value, own)
                : writer.update(key, value, expectedRevision, own);
        return written.thenApply(result -> switch (result) {
            case WriteResult.Written done -> new AdminResult.Accepted(done.version());
            case WriteResult.VersionConflict lost ->
                new AdminResult.Conflict(stage, expectedRevision, lost.currentVersion());
            case WriteResult.Unavailable unavailable ->
                new AdminResult.Unavailable(unavailable.detail(), unavailable.maybeApplied());
        });
    }

    private CompletableFuture<AdminResult> withCurrent(
            String environment,
            Stage stage,
            Function<Optional<AdminResult.Current>, CompletableFuture<AdminResult>> action) {
        return store.get(StoredDocument.key(environment, stage)).thenCompose(result -> switch (result) {
            case ReadResult.Absent absent -> action.apply(Optional.empty());
            case ReadResult.Unavailable unavailable ->
                completed(new AdminResult.Unavailable(unavailable.detail(), false));
            case ReadResult.Found found -> {
                try {
                    StoredDocument document =
                            StoredDocument.decode(found.object().value());
                    yield action.apply(
                            Optional.of(new AdminResult.Current(found.object().version(), document)));
                } catch (KingcuproadException failure) {
                    yield completed(new AdminResult.Refused(failure.kind(), failure.detail()));
                }
            }
        });
    }

    private static AdminResult repeated(AdminResult.Current current, long made, byte[] text) {
        boolean newest = made == current.revision();
        if (newest && !Arrays.equals(current.document().text(), text)) {
            return new AdminResult.Refused(
                    ErrorKind.KEY_REUSED, "the operation id was used for another document, in revision " + made);
        }
        return new AdminResult.Accepted(made);
    }

    private static OptionalLong revisionOf(String operationId, Optional<AdminResult.Current> current) {
        return current.map(found -> found.document().revisionOf(operationId, found.revision()))
                .orElse(OptionalLong.empty());
    }

    private static OptionalLong ownRevision(StoredObject found, String operationId) {
        try {
            return StoredDocument.decode(found.value()).revisionOf(operationId, found.version());
        } catch (KingcuproadException damaged) {
            return OptionalLong.empty();
        }
    }

    private static Optional<AdminResult> check(String environment, byte[] text, String operationId) {
        Optional<AdminResult> mistake = checkNames(environment, operationId);
        if (mistake.isPresent()) {
            return mistake;
        }
        if (text.length > StoredDocument.MAX_TEXT_BYTES) {
            String detail = "a document has at most " + StoredDocument.MAX_TEXT_BYTES + " bytes";
            return Optional.of(new AdminResult.Refused(ErrorKind.BODY_TOO_LARGE, detail));
        }
        try {
            EnvironmentDocument document = EnvironmentDocumentReader.read(text);
            if (!document.environment().equals(environment)) {
                Mistakes mistakes = new Mistakes();
                mistakes.add(JsonPath.ROOT.member("environment"), environment, document.environment());
                mistakes.throwIfAny();
            }
            return Optional.empty();
        } catch (DocumentInvalidException failure) {
            return Optional.of(new AdminResult.Invalid(failure.mistakes()));
        }
    }

    private static Optional<AdminResult> checkNames(String environment, String operationId) {
        if (!ENVIRONMENT.matcher(environment).matches()) {
            return Optional.of(new AdminResult.Refused(ErrorKind.NOT_FOUND, "no such environment"));
        }
        if (!OPERATION_ID.matcher(operationId).matches()) {
            return Optional.of(new AdminResult.Refused(
                    ErrorKind.BAD_REQUEST, "an operation id has 1 to 64 letters, digits and hyphens"));
        }
        return Optional.empty();
    }

    private static CompletableFuture<AdminResult> completed(AdminResult result) {
        return CompletableFuture.completedFuture(result);
    }
}
